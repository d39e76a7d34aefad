package gaugegw.balancer;

import java.util.Random;

/**
 * The delays between failed calls to discovery: exponential, with jitter, and capped so that a change is in force in
 * time. The longest way to a list: a call that began just before discovery could be reached times out, a delay, a call
 * that times out too, a delay, and a call that is answered at the last moment.
 */
public final class DiscoveryBackoff {
    /** A change must be in force so long after discovery had it and could be reached, in microseconds. */
    static final long MAX_PROPAGATION_DELAY_US = 6_000_000;
    /** The time-out of a call, in microseconds: one lost handshake packet is sent again after 1 s (RFC 6298). */
    public static final long CALL_TIMEOUT_US = 1_200_000;

    private static final int MAX_CALLS_BEFORE_SUCCESS = 3;
    private static final int MAX_DELAYS_BEFORE_SUCCESS = 2;
    /** The longest delay from the end of a failed call to the next call, in microseconds. */
    static final long MAX_DELAY_US =
            (MAX_PROPAGATION_DELAY_US - MAX_CALLS_BEFORE_SUCCESS * CALL_TIMEOUT_US) / MAX_DELAYS_BEFORE_SUCCESS;

    /** The delay before jitter after a first failure, in microseconds; it doubles with each further one in a row. */
    private static final long FIRST_DELAY_US = 200_000;

    private static final int GROWTH_FACTOR = 2;
    /** Delays are shortened by up to this part, so that proxies do not all call discovery at the same moment. */
    private static final double JITTER_SHARE = 0.5;
    /** Longer ago than any failure; not the least value, as the time since then would overflow. */
    private static final long NEVER_US = Long.MIN_VALUE / 2;

    private final Random random;
    private final long maxDelayUs;
    private long delayUs;
    private long failedAtUs = NEVER_US;

    /** Starts with no failure; no delay is longer than the poll interval. */
    DiscoveryBackoff(Random random, long pollIntervalUs) {
        this.random = random;
        this.maxDelayUs = Math.min(MAX_DELAY_US, pollIntervalUs);
    }

    /**
     * Returns the delay after one more failure, in microseconds. An answered call does not end the row of failures, as
     * a watch may fail right after, again and again; a time of {@link #MAX_PROPAGATION_DELAY_US} without failure does.
     */
    long nextDelayUs(long nowUs) {
        boolean firstInRow = nowUs - failedAtUs > MAX_PROPAGATION_DELAY_US;
        failedAtUs = nowUs;
        delayUs = Math.min(firstInRow ? FIRST_DELAY_US : GROWTH_FACTOR * delayUs, maxDelayUs);
        return (long) Math.ceil(delayUs * (1 - JITTER_SHARE * random.nextDouble()));
    }
}
