package gaugegw.proxy.client;

/**
 * Records when the requests of one connection began to arrive, on the proxy's clock in microseconds. A client's timeout
 * starts when it sends its request. The proxy can't know that time, so it uses the time when the first byte was
 * received. Used on the event loop only.
 */
final class RequestArrival {
    private static final long NONE = -1;

    /**
     * Bytes that are read so soon after the accept, in microseconds, may have been received before it: an event loop
     * reads an accepted connection in its next iteration.
     */
    private static final long FIRST_READ_US = 20_000;

    private final EventLoopDelayEstimator delayEstimator;
    /** When the client may have connected, on the proxy's clock. */
    private final long connectedAtUs;
    /** Until when bytes may have been received before the connection was accepted, on the proxy's clock. */
    private final long firstReadUntilUs;

    private long firstByteAtUs = NONE;
    private long lastCompletedFirstByteAtUs;

    /**
     * Records a new connection.
     *
     * @param nowUs the time on the proxy's clock
     * @param connectedForUs how long the client may have been connected, in microseconds
     */
    RequestArrival(EventLoopDelayEstimator delayEstimator, long nowUs, long connectedForUs) {
        this.delayEstimator = delayEstimator;
        this.connectedAtUs = nowUs - connectedForUs;
        this.firstReadUntilUs = nowUs + FIRST_READ_US;
    }

    /** Records that bytes were read. The first ones after a complete request are the beginning of the next request. */
    void bytesRead() {
        if (!isIncomplete()) {
            long receivedAtUs = delayEstimator.earliestReceiptAtUs();
            firstByteAtUs = receivedAtUs <= firstReadUntilUs ? Math.min(receivedAtUs, connectedAtUs) : receivedAtUs;
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
