package gaugegw.balancer;

/**
 * The state machine that keeps requests from an endpoint, or from one flow at an endpoint, after a failure.
 *
 * <ul>
 *   <li>{@link State#CLOSED}: no failure is remembered. A failure opens a backoff of one period.
 *   <li>{@link State#BACKING_OFF}: nothing is to be sent. Results of attempts that began earlier are ignored, so that
 *       one fault that ends many attempts at once counts as one failure.
 *   <li>{@link State#PROBING}: the backoff has passed. A failure starts the next backoff, twice as long; a success
 *       halves the length, and closes the state machine once it is down to one period.
 * </ul>
 */
final class FailureBackoff {
    /** The state at a given time. */
    enum State {
        CLOSED,
        BACKING_OFF,
        PROBING
    }

    /** The longest backoff, in periods. */
    private static final int MAX_BACKOFF_PERIODS = 8;

    private final long periodUs;
    private long backoffUs;
    private long backoffUntilUs = Long.MIN_VALUE;

    /**
     * Starts closed.
     *
     * @param periodUs the first backoff, in microseconds
     */
    FailureBackoff(long periodUs) {
        this.periodUs = periodUs;
    }

    State state(long nowUs) {
        if (nowUs < backoffUntilUs) {
            return State.BACKING_OFF;
        }
        return backoffUs == 0 ? State.CLOSED : State.PROBING;
    }

    /** Returns whether failures are remembered: in every state but {@link State#CLOSED}. */
    boolean hasRecentFailures() {
        return backoffUs > 0;
    }

    void recordSuccess(long nowUs) {
        if (state(nowUs) != State.BACKING_OFF) {
            backoffUs = backoffUs > periodUs ? backoffUs / 2 : 0;
        }
    }

    void recordFailure(long nowUs) {
        if (state(nowUs) != State.BACKING_OFF) {
            backoffUs = Math.min(Math.max(2 * backoffUs, periodUs), MAX_BACKOFF_PERIODS * periodUs);
            backoffUntilUs = nowUs + backoffUs;
        }
    }
}
