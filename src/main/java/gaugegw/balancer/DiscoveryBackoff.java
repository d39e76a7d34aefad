package gaugegw.balancer;

import java.util.Random;

/**
 * Computes the delays between failed calls to discovery: exponential backoff with jitter, capped so that a change of
 * the endpoint list takes effect within {@link #MAX_PROPAGATION_DELAY_US}. In the worst case, a call that began just
 * before discovery became reachable times out, a second call times out after a delay, and a third call after another
 * delay is answered just before its timeout.
 */
public final class DiscoveryBackoff {
    /** The longest time from when discovery has a change and is reachable until it takes effect, in microseconds. */
    static final long MAX_PROPAGATION_DELAY_US = 6_000_000;
    /**
     * The timeout of a call, in microseconds. It leaves time for TCP to send a lost handshake packet again, which it
     * does after 1 s (RFC 6298).
     */
    public static final long CALL_TIMEOUT_US = 1_200_000;

    private static final int MAX_CALLS_BEFORE_SUCCESS = 3;
    private static final int MAX_DELAYS_BEFORE_SUCCESS = 2;
    /** The longest delay between the end of a failed call and the next call, in microseconds. */
    static final long MAX_DELAY_US =
            (MAX_PROPAGATION_DELAY_US - MAX_CALLS_BEFORE_SUCCESS * CALL_TIMEOUT_US) / MAX_DELAYS_BEFORE_SUCCESS;

    /** The delay after the first failure, before jitter, in microseconds. It doubles with each consecutive failure. */
    private static final long FIRST_DELAY_US = 200_000;

    private static final int GROWTH_FACTOR = 2;
    /**
     * Delays are shortened by up to this fraction, so that the proxies do not all call discovery at the same moment.
     */
    private static final double JITTER_SHARE = 0.5;
    /**
     * The time of the last failure while there has been none. Not {@link Long#MIN_VALUE}, because the time since then
     * would overflow.
     */
    private static final long NEVER_US = Long.MIN_VALUE / 2;

    private final Random random;
    private final long maxDelayUs;
    private long delayUs;
    private long lastFailureAtUs = NEVER_US;

    /** Creates a backoff without failures. No delay will be longer than the poll interval. */
    DiscoveryBackoff(Random random, long pollIntervalUs) {
        this.random = random;
        this.maxDelayUs = Math.min(MAX_DELAY_US, pollIntervalUs);
    }

    /**
     * Records a failure and returns the delay until the next call, in microseconds. A successful call does not reset
     * the backoff, because a watch may begin and then end at once, again and again. The backoff is reset when {@link
     * #MAX_PROPAGATION_DELAY_US} pass without a failure.
     */
    long nextDelayUs(long nowUs) {
        boolean firstFailure = nowUs - lastFailureAtUs > MAX_PROPAGATION_DELAY_US;
        lastFailureAtUs = nowUs;
        delayUs = Math.min(firstFailure ? FIRST_DELAY_US : GROWTH_FACTOR * delayUs, maxDelayUs);
        return (long) Math.ceil(delayUs * (1 - JITTER_SHARE * random.nextDouble()));
    }
}
