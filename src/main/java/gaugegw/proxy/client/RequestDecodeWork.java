package gaugegw.proxy.client;

import gaugegw.proxy.transport.Transport;
import io.netty.channel.Channel;

/**
 * The work of decoding the incomplete request of one connection. Suspends reading while the request is expensive to
 * decode and its turn has not come; see {@link DecodeWorkLimiter}. Used on the event loop only.
 */
final class RequestDecodeWork {
    private final ClientContext context;
    private final Channel channel;
    private final RequestAggregator aggregator;

    /** The number of parts that have been decoded, as {@link RequestAggregator#decodedParts} counts them. */
    private long decodedParts;
    /** The number of parts that had been decoded when the last request was complete. */
    private long partsBeforeRequest;
    /** The turn for which the connection waits; null if reading is not suspended. */
    private DecodeTurn turn;
    /** Since when reading is suspended, on the proxy's clock. */
    private long suspendedSinceUs;
    /** How long reading was suspended for the incomplete request, in microseconds, without the current turn. */
    private long suspendedUs;

    RequestDecodeWork(ClientContext context, Channel channel, RequestAggregator aggregator) {
        this.context = context;
        this.channel = channel;
        this.aggregator = aggregator;
    }

    /**
     * Records what a read has decoded, and suspends reading if the incomplete request is expensive to decode.
     *
     * @param requestIncomplete whether the read has ended within a request
     */
    void readDecoded(boolean requestIncomplete) {
        long partsBeforeRead = decodedParts;
        decodedParts = aggregator.decodedParts();
        if (!requestIncomplete) {
            partsBeforeRequest = decodedParts;
            suspendedUs = 0;
            return;
        }
        long readParts = decodedParts - partsBeforeRead;
        context.decodeScheduler().readDecoded(requestParts(), readParts);
        if (DecodeWorkLimiter.isExpensive(requestParts())) {
            suspend(readParts);
        }
    }

    /** Waits for the next turn; the read is expected to have as many parts as the last one. */
    private void suspend(long lastReadParts) {
        cancelTurn();
        channel.config().setAutoRead(false);
        suspendedSinceUs = context.clock().nowUs();
        turn = context.decodeScheduler().schedule(channel.eventLoop(), requestParts() + lastReadParts, this::takeTurn);
    }

    /** Reads until {@link #readDecoded} suspends reading again, or until nothing is left. */
    private void takeTurn() {
        resume();
        Transport.readNow(channel);
    }

    /** Resumes reading without waiting for a turn; to be called when no further request is decoded. */
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
            suspendedUs += context.clock().nowUs() - suspendedSinceUs;
        }
    }

    /** Returns whether reading has been suspended for the incomplete request. */
    boolean hasBeenSuspended() {
        return turn != null || suspendedUs > 0;
    }

    /** Describes the work in a form for the log. */
    String describe() {
        long currentUs = turn == null ? 0 : context.clock().nowUs() - suspendedSinceUs;
        return requestParts() + " parts decoded, reading suspended for " + (suspendedUs + currentUs) / 1_000 + " ms";
    }

    private long requestParts() {
        return decodedParts - partsBeforeRequest;
    }
}
