package gaugegw.proxy.http;

/**
 * Estimates the memory that the head or the trailers of a message hold on the Java heap while they are being decoded.
 * Many short lines hold far more than their bytes. Used on the event loop only.
 */
final class PartialHead {
    private int lines;
    private long consumedBytes;

    /** Records that a header line was decoded. */
    void lineDecoded() {
        lines++;
    }

    /**
     * Records a call of the decoder.
     *
     * @param consumed the number of bytes that the call has consumed
     * @param emitted whether the call has passed on a head or a part of a body, which its receiver accounts for
     */
    void decoded(int consumed, boolean emitted) {
        if (emitted) {
            reset();
        } else {
            consumedBytes += consumed;
        }
    }

    /** Records that the head or the trailers are complete or have been dropped. */
    void reset() {
        lines = 0;
        consumedBytes = 0;
    }

    /** Returns the estimate in bytes. */
    long heapBytes() {
        return lines * MessageSize.HEADER_LINE_BYTES + consumedBytes;
    }
}
