package gaugegw.balancer;

/**
 * An exponential backoff after failures. The first failure starts a backoff of the initial length. Each later failure
 * doubles the length, up to a limit, and starts another backoff. Each success halves the length; a success at the
 * initial length makes the backoff inactive. Results that arrive during a backoff are ignored, because one fault may
 * end many attempts at once.
 */
final class FailureBackoff {
    /** Whether attempts may start. */
    enum State {
        /** Attempts may start; there was no failure, or enough successes have followed the last one. */
        INACTIVE,
        /** No attempt may start. */
        BACKING_OFF,
        /** The backoff has passed, but too few successes have followed to make it inactive. */
        PROBING
    }

    /** The longest backoff, as a multiple of the initial backoff. */
    private static final int MAX_BACKOFF_MULTIPLE = 8;

    private static final int GROWTH_FACTOR = 2;

    /** Length of the last backoff, halved by each success since; 0 if the backoff is inactive. */
    private long backoffUs;

    private long backoffUntilUs = Long.MIN_VALUE;

    State state(long nowUs) {
        if (nowUs < backoffUntilUs) {
            return State.BACKING_OFF;
        }
        return backoffUs == 0 ? State.INACTIVE : State.PROBING;
    }

    /** Returns whether the state is {@link State#BACKING_OFF} or {@link State#PROBING}. */
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
