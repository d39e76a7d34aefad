package gaugegw.proxy.client;

/**
 * Limits the share of the event loop's time that goes into decoding expensive requests: those of very many parts, such as
 * a body in chunks of one byte or a head of very many short lines. Without it, a few hundred of them would keep all other
 * clients waiting. A usual request has far fewer than {@link #FREE_PARTS} and is never delayed. The connections whose
 * request has more share {@link #EXPENSIVE_PERCENT} of the time: after each read, such a connection is not read again
 * before its turn. The work is counted in parts, not in time, so that it does not depend on whether the code is compiled
 * yet. All connections share one limiter. Used on the event loop only.
 */
final class DecodeWorkLimiter {
    /** Number of header lines and parts of the body after which a request counts as expensive. */
    private static final int FREE_PARTS = 256;
    /** The time to decode one part in compiled code, in microseconds, rounded up. */
    private static final long PART_US = 2;
    /** The share of the time that expensive requests get together. */
    private static final int EXPENSIVE_PERCENT = 25;

    /** When the turns that have been given away end, on the proxy's clock. */
    private long turnsEndAtUs;

    /**
     * Returns how long a connection must not be read after a read, in microseconds; 0 if it may be read at once.
     *
     * @param requestParts the number of parts of its incomplete request so far, with those of this read
     * @param readParts the number of parts of this read
     */
    long delayUs(long requestParts, long readParts, long nowUs) {
        if (requestParts <= FREE_PARTS) {
            return 0;
        }
        turnsEndAtUs = Math.max(turnsEndAtUs, nowUs) + readParts * PART_US * 100 / EXPENSIVE_PERCENT;
        return turnsEndAtUs - nowUs;
    }
}
