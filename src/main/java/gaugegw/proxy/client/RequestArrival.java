package gaugegw.proxy.client;

/**
 * When the requests of one connection began to arrive, on the proxy's clock in microseconds. A client's timeout runs
 * from when it sent its request, and the first received byte is the closest to it that the proxy can know. Used on the
 * event loop only.
 */
final class RequestArrival {
    private static final long NONE = -1;

    private final EventLoopDelayEstimator delayEstimator;
    private long firstByteAtUs = NONE;
    private long lastFirstByteAtUs;

    RequestArrival(EventLoopDelayEstimator delayEstimator) {
        this.delayEstimator = delayEstimator;
    }

    /** Bytes have been read; the first ones since the last complete request begin the next. */
    void bytesRead() {
        if (!isIncomplete()) {
            firstByteAtUs = delayEstimator.earliestReceiptUs();
        }
    }

    /** Returns whether part of a request has been read. */
    boolean isIncomplete() {
        return firstByteAtUs >= 0;
    }

    /** Returns when the first byte of the incomplete request was received. */
    long firstByteAtUs() {
        return firstByteAtUs;
    }

    /** A request has been read completely; returns when its first byte was received. */
    long complete() {
        // If several requests came in one read, all of them were received when the first byte of that read was.
        if (isIncomplete()) {
            lastFirstByteAtUs = firstByteAtUs;
        }
        firstByteAtUs = NONE;
        return lastFirstByteAtUs;
    }
}
