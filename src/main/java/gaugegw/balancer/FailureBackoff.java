package gaugegw.balancer;

/**
 * An exponential backoff after failures. Each failure doubles the backoff up to a limit, and each success halves it; a
 * success at the initial length ends it. Results that arrive during a backoff are ignored, because one fault may end
 * many attempts at once.
 */
final class FailureBackoff {
    /** Whether attempts may start. */
    enum State {
        /** There is no recent failure. */
        INACTIVE,
        /** No attempt may start. */
        BACKING_OFF,
        /** The backoff has passed, but too few successes have followed to make it inactive. */
        PROBING
    }

    /** The longest backoff, as a multiple of the initial backoff. */
    private static final int MAX_BACKOFF_MULTIPLE = 8;

    private static final int GROWTH_FACTOR = 2;

    private long backoffUs;
    private long backoffUntilUs = Long.MIN_VALUE;

    State state(long nowUs) {
        if (nowUs < backoffUntilUs) {
            return State.BACKING_OFF;
        }
        return backoffUs == 0 ? State.INACTIVE : State.PROBING;
    }

    /** Returns whether a failure is remembered, that is, whether the state is not {@link State#INACTIVE}. */
    boolean hasRecentFailure() {
        return backoffUs > 0;
    }

    /**
     * Records the result of an attempt.
     *
     * @param initialBackoffUs the backoff after a first failure, in microseconds
     */
    void record(boolean success, long nowUs, long initialBackoffUs) {
        if (state(nowUs) == State.BACKING_OFF) {
            return;
        }
        if (success) {
            backoffUs = backoffUs > initialBackoffUs ? backoffUs / GROWTH_FACTOR : 0;
        } else {
            backoffUs = Math.min(
                    Math.max(GROWTH_FACTOR * backoffUs, initialBackoffUs), MAX_BACKOFF_MULTIPLE * initialBackoffUs);
            backoffUntilUs = nowUs + backoffUs;
        }
    }
}
