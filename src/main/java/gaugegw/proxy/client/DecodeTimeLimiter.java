package gaugegw.proxy.client;

/**
 * Limits the share of the event loop's time that goes into decoding expensive requests, such as those with a body in
 * chunks of one byte or with a head of very many short lines. Without it, a few hundred of them would keep all other
 * clients waiting. Decoding a usual request takes far less than {@link #FREE_US} and is never delayed. The connections
 * whose request has taken longer share {@link #EXPENSIVE_PERCENT} of the time: after each read, such a connection is not
 * read again before its turn. All connections share one limiter. Used on the event loop only.
 */
final class DecodeTimeLimiter {
    /** Decoding time of one request after which it counts as expensive, in microseconds. */
    private static final long FREE_US = 500;
    /** The share of the time that expensive requests get together. */
    private static final int EXPENSIVE_PERCENT = 25;
    /**
     * The most that one read counts for, in microseconds. A longer time means that the process was held up or that its
     * code was not compiled yet.
     */
    private static final long MAX_READ_US = 2_000;

    /** When the turns that have been given away end, on the proxy's clock. */
    private long turnsEndAtUs;

    /**
     * Returns how long a connection must not be read after a read, in microseconds; 0 if it may be read at once.
     *
     * @param requestUs the time that decoding its incomplete request has taken so far, with this read
     * @param readUs the time that decoding the input of this read has taken
     */
    long delayUs(long requestUs, long readUs, long nowUs) {
        if (requestUs <= FREE_US) {
            return 0;
        }
        long turnUs = Math.min(readUs, MAX_READ_US) * 100 / EXPENSIVE_PERCENT;
        turnsEndAtUs = Math.max(turnsEndAtUs, nowUs) + turnUs;
        return turnsEndAtUs - nowUs;
    }
}
