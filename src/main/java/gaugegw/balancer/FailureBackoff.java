package gaugegw.balancer;

/**
 * Backoff after failures: one period after the first, doubled by each that follows and halved by each success. Results
 * that arrive during a backoff are ignored, as one fault may end many attempts at once.
 */
final class FailureBackoff {
    /** Whether attempts may begin, and what is remembered of failures. */
    enum State {
        /** No recent failure. */
        CLOSED,
        /** Nothing is sent. */
        BACKING_OFF,
        /** The backoff has passed, but too few successes have followed to close it. */
        PROBING
    }

    /** The longest backoff, in periods. */
    private static final int MAX_PERIODS = 8;

    private static final int GROWTH_FACTOR = 2;

    private long backoffUs;
    private long backoffUntilUs = Long.MIN_VALUE;

    State state(long nowUs) {
        if (nowUs < backoffUntilUs) {
            return State.BACKING_OFF;
        }
        return backoffUs == 0 ? State.CLOSED : State.PROBING;
    }

    /** Returns whether a failure is remembered, during a backoff or after it. */
    boolean hasRecentFailure() {
        return backoffUs > 0;
    }

    /**
     * Takes a result.
     *
     * @param periodUs the backoff after a first failure, in microseconds
     */
    void record(boolean success, long nowUs, long periodUs) {
        if (state(nowUs) == State.BACKING_OFF) {
            return;
        }
        if (success) {
            backoffUs = backoffUs > periodUs ? backoffUs / GROWTH_FACTOR : 0;
        } else {
            backoffUs = Math.min(Math.max(GROWTH_FACTOR * backoffUs, periodUs), MAX_PERIODS * periodUs);
            backoffUntilUs = nowUs + backoffUs;
        }
    }
}
