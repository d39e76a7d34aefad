package gaugegw.proxy.client;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

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
    /** How long reading has been or will be suspended for the incomplete request, in microseconds. */
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
        long delayUs = context.decodeWork()
                .delayUs(
                        requestParts(),
                        decodedParts - partsBeforeRead,
                        context.clock().nowUs());
        if (delayUs > 0) {
            suspendedUs += delayUs;
            channel.config().setAutoRead(false);
            channel.eventLoop().schedule(() -> channel.config().setAutoRead(true), delayUs, TimeUnit.MICROSECONDS);
        }
    }

    /** Returns whether reading has been suspended for the incomplete request. */
    boolean hasBeenSuspended() {
        return suspendedUs > 0;
    }

    /** Describes the work in a form for the log. */
    String describe() {
        return requestParts() + " parts decoded, reading suspended for " + suspendedUs / 1_000 + " ms";
    }

    private long requestParts() {
        return decodedParts - partsBeforeRequest;
    }
}
