package gaugegw.proxy.client;

import gaugegw.proxy.transport.Transport;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The work of decoding the incomplete request of one connection. Suspends reading while the request is expensive to
 * decode and its turn has not come; see {@link DecodeWorkLimiter}. Meanwhile the rest of the request may have been
 * received, so its deadline is enforced: nothing else knows it before the request has been decoded. Used on the event
 * loop only.
 */
final class RequestDecodeWork {
    /**
     * Maximum age of a request whose head has not been decoded while reading is suspended, in microseconds. Its timeout
     * is not known yet. A response later than half a second after the timeout is lost.
     */
    private static final long MAX_UNDECODED_HEAD_AGE_US = 450_000;

    private final ClientContext context;
    private final Channel channel;
    private final RequestAggregator aggregator;
    private final RequestArrival arrival;
    private final Runnable overdueHandler;

    /** The number of parts that have been decoded, as {@link RequestAggregator#decodedParts} counts them. */
    private long decodedParts;
    /** The number of parts that had been decoded when the last request was complete. */
    private long partsBeforeRequest;
    /** The number of bytes of the incomplete request that have been read. */
    private long requestBytes;
    /** The turn for which the connection waits; null if reading is not suspended. */
    private DecodeTurn turn;
    /** Fires at the deadline of the request; null if reading is not suspended or there is no deadline. */
    private Future<?> overdueTimer;
    /** Since when reading is suspended, on the proxy's clock. */
    private long suspendedSinceUs;
    /** How long reading was suspended for the incomplete request, in microseconds, without the current turn. */
    private long suspendedUs;

    /**
     * Creates an object for a connection on which nothing has been decoded.
     *
     * @param overdueHandler called when a request has reached its deadline while reading is suspended; must reject it
     */
    RequestDecodeWork(
            ClientContext context,
            Channel channel,
            RequestAggregator aggregator,
            RequestArrival arrival,
            Runnable overdueHandler) {
        this.context = context;
        this.channel = channel;
        this.aggregator = aggregator;
        this.arrival = arrival;
        this.overdueHandler = overdueHandler;
    }

    /**
     * Records what a read has decoded, and suspends reading if the incomplete request is expensive to decode.
     *
     * @param readBytes the number of bytes of the read
     */
    void readDecoded(int readBytes) {
        long partsBeforeRead = decodedParts;
        decodedParts = aggregator.decodedParts();
        if (!arrival.isIncomplete()) {
            resume();
            partsBeforeRequest = decodedParts;
            requestBytes = 0;
            suspendedUs = 0;
            return;
        }
        requestBytes += readBytes;
        context.decodeScheduler().readDecoded(requestParts(), decodedParts - partsBeforeRead);
        if (DecodeWorkLimiter.isExpensive(requestParts())) {
            suspend();
        }
    }

    private void suspend() {
        cancelTurn();
        channel.config().setAutoRead(false);
        suspendedSinceUs = context.clock().nowUs();
        turn = context.decodeScheduler()
                .schedule(
                        channel.eventLoop(),
                        DecodeWorkLimiter.expectedParts(requestParts(), requestBytes),
                        this::takeTurn);
        startOverdueTimer();
    }

    private void startOverdueTimer() {
        OptionalLong deadlineAtUs = deadlineAtUs();
        if (deadlineAtUs.isPresent()) {
            long remainingUs = deadlineAtUs.getAsLong() - suspendedSinceUs;
            overdueTimer = channel.eventLoop().schedule(overdueHandler, remainingUs, TimeUnit.MICROSECONDS);
        }
    }

    /** Returns the deadline of the incomplete request; empty if it is invalid, as its head has no valid timeout. */
    private OptionalLong deadlineAtUs() {
        HttpRequest head = aggregator.incompleteHead();
        if (head == null) {
            return OptionalLong.of(arrival.firstByteAtUs() + MAX_UNDECODED_HEAD_AGE_US);
        }
        try {
            return OptionalLong.of(ClientRequestParser.deadlineAtUs(head.headers(), arrival.firstByteAtUs()));
        } catch (InvalidRequestException e) {
            return OptionalLong.empty();
        }
    }

    /** Reads until {@link #readDecoded} suspends reading again, or until nothing is left. */
    private void takeTurn() {
        resume();
        // Netty calls channelInactive, which cancels the turn, in a task after the close.
        if (channel.isActive()) {
            Transport.readNow(channel);
        }
    }

    /**
     * Resumes reading if it is suspended: at its turn, when the request is complete, and when no further request is
     * decoded.
     */
    void resume() {
        if (turn != null) {
            cancelTurn();
            channel.config().setAutoRead(true);
        }
    }

    /** Gives up the turn; to be called at the latest when the connection is closed. */
    void cancelTurn() {
        if (turn != null) {
            context.decodeScheduler().cancel(turn);
            turn = null;
            cancelOverdueTimer();
            suspendedUs += context.clock().nowUs() - suspendedSinceUs;
        }
    }

    private void cancelOverdueTimer() {
        if (overdueTimer != null) {
            overdueTimer.cancel(false);
            overdueTimer = null;
        }
    }

    /**
     * Logs what happens to the incomplete request, if reading it has been suspended.
     *
     * @param what the predicate of the sentence, such as {@code is not complete in time}
     */
    void logIfSuspended(String what) {
        if (turn != null || suspendedUs > 0) {
            context.decodeWorkLog().event(() -> describe(what));
        }
    }

    private String describe(String what) {
        long nowUs = context.clock().nowUs();
        long currentUs = turn == null ? 0 : nowUs - suspendedSinceUs;
        return "the request of client " + channel.remoteAddress() + " " + what + ", "
                + (nowUs - arrival.firstByteAtUs()) / 1_000 + " ms after its first byte: " + requestParts()
                + " parts decoded, reading suspended for " + (suspendedUs + currentUs) / 1_000 + " ms";
    }

    private long requestParts() {
        return decodedParts - partsBeforeRequest;
    }
}
