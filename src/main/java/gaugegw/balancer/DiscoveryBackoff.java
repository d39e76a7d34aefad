package gaugegw.balancer;

import java.util.Random;

/**
 * The delays between failed calls to discovery: exponential, with jitter, and capped so that a change is in force in time
 * whatever calls fail around the moment at which discovery can be reached again.
 *
 * <p>The longest way to a list goes through a call that began just before discovery could be reached and runs out, a
 * delay, a first call after that which runs out too, a delay, and a call that is answered at the last moment.
 */
public final class DiscoveryBackoff {
    /** The standing page: a change counts as told so long after discovery had it and could be reached, in microseconds. */
    static final long MAX_PROPAGATION_DELAY_US = 6_000_000;
    /**
     * Time within which a call that does not wait has to be answered, in microseconds, connecting included: long enough
     * for one lost packet of the handshake, which TCP sends again after 1 s (RFC 6298).
     */
    public static final long CALL_TIMEOUT_US = 1_200_000;

    private static final int MAX_CALLS_BEFORE_SUCCESS = 3;
    private static final int MAX_DELAYS_BEFORE_SUCCESS = 2;
    /** The longest delay between the end of a failed call and the next call, in microseconds. */
    static final long MAX_DELAY_US =
            (MAX_PROPAGATION_DELAY_US - MAX_CALLS_BEFORE_SUCCESS * CALL_TIMEOUT_US) / MAX_DELAYS_BEFORE_SUCCESS;

    /** The delay before jitter after a first failure, in microseconds; it doubles with each further one in a row. */
    private static final long FIRST_DELAY_US = 200_000;

    private final Random random;
    private final long maxDelayUs;
    private long delayUs;
    private long failedAtUs = Long.MIN_VALUE / 2;

    /**
     * Starts with no failure.
     *
     * @param askWithinUs time in which a proxy without a watch has to ask, in microseconds: no delay is longer
     */
    DiscoveryBackoff(Random random, long askWithinUs) {
        this.random = random;
        this.maxDelayUs = Math.min(MAX_DELAY_US, askWithinUs);
    }

    /**
     * Returns how long to wait after one more failure, in microseconds: between half of the delay and the whole of it.
     * A call that is answered does not end the row of failures, as a watch may end again and again right after; a time
     * of {@link #MAX_PROPAGATION_DELAY_US} without a failure does.
     *
     * @param nowUs the proxy's clock, in microseconds
     */
    long nextDelayUs(long nowUs) {
        boolean firstInRow = nowUs - failedAtUs > MAX_PROPAGATION_DELAY_US;
        failedAtUs = nowUs;
        delayUs = Math.min(firstInRow ? FIRST_DELAY_US : 2 * delayUs, maxDelayUs);
        return (long) Math.ceil(delayUs * (1 - random.nextDouble() / 2));
    }
}
