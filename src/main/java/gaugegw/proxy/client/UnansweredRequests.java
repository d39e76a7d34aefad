package gaugegw.proxy.client;

import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.logging.TrafficCounters;
import gaugegw.proxy.logging.TrafficEvent;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.SocketErrors;
import io.netty.channel.Channel;

/**
 * Counts the requests whose connection ended before their response was written, and logs those that did not end because
 * the client disconnected: with the id of the request, its age and the error. Used on the event loop only.
 */
final class UnansweredRequests {
    private final Clock clock;
    private final RateLimitedLog log;
    private final TrafficCounters counters;

    UnansweredRequests(Clock clock, RateLimitedLog log, TrafficCounters counters) {
        this.clock = clock;
        this.log = log;
        this.counters = counters;
    }

    /**
     * Records that a connection ended during an exchange.
     *
     * @param failure the error that closed the connection; null if there was none
     */
    void connectionEnded(Channel channel, ClientExchange exchange, Throwable failure) {
        boolean disconnected = failure == null || SocketErrors.isDisconnect(failure);
        counters.count(disconnected ? TrafficEvent.REQUEST_ABANDONED : TrafficEvent.REQUEST_UNANSWERED);
        if (!disconnected) {
            log(channel, exchange, "is unanswered, as its connection failed", failure);
        }
    }

    /** Records that the response of an exchange was not written completely. */
    void responseNotWritten(Channel channel, ClientExchange exchange, Throwable failure) {
        counters.count(TrafficEvent.RESPONSE_NOT_WRITTEN);
        if (!SocketErrors.isDisconnect(failure)) {
            log(channel, exchange, "has a response that could not be written, its connection ends", failure);
        }
    }

    private void log(Channel channel, ClientExchange exchange, String what, Throwable failure) {
        long ageMs = (clock.nowUs() - exchange.firstByteAtUs()) / 1_000;
        log.writeException(
                "request " + exchange.requestId() + " of client " + channel.remoteAddress() + " " + what + " after "
                        + ageMs + " ms",
                failure);
    }
}
