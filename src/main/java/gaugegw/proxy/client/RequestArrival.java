package gaugegw.proxy.client;

/**
 * Records when the requests of one connection began to arrive, on the proxy's clock in microseconds. A client's timeout
 * starts when it sends its request. The proxy can't know that time, so it uses the time when the first byte was
 * received. Used on the event loop only.
 */
final class RequestArrival {
    private static final long NONE = -1;

    private final EventLoopDelayEstimator delayEstimator;
    private long firstByteAtUs = NONE;
    private long lastCompletedFirstByteAtUs;

    RequestArrival(EventLoopDelayEstimator delayEstimator) {
        this.delayEstimator = delayEstimator;
    }

    /** Records that bytes were read. The first ones after a complete request are the beginning of the next request. */
    void bytesRead() {
        if (!isIncomplete()) {
            firstByteAtUs = delayEstimator.earliestReceiptAtUs();
        }
    }

    /** Returns whether part of a request has been read. */
    boolean isIncomplete() {
        return firstByteAtUs >= 0;
    }

    /** Returns when the first byte of the incomplete request was received; negative if there is no such request. */
    long firstByteAtUs() {
        return firstByteAtUs;
    }

    /** Records that a request was read completely; returns when its first byte was received. */
    long requestCompleted() {
        // One read may contain several requests. No first byte is recorded for the later ones; they were received at
        // the same time as the first.
        if (isIncomplete()) {
            lastCompletedFirstByteAtUs = firstByteAtUs;
        }
        firstByteAtUs = NONE;
        return lastCompletedFirstByteAtUs;
    }
}
