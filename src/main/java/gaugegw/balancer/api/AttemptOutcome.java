package gaugegw.balancer.api;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint answered the request. */
    SUCCESS(false),
    /** The endpoint answered with an error. */
    ERROR(false),
    /** The endpoint rejected the request without examining it: its queue is full, or it drains. */
    REJECTED(true),
    /** No answer arrived within the time-out. */
    TIMEOUT(false),
    /** No connection could be established in time. */
    CONNECT_FAILED(true),
    /** The connection broke before the answer was complete. */
    RESET(false),
    /** The attempt was cancelled by {@link Action.CancelAttempt}. */
    CANCELLED(false),
    /** The attempt was never sent, as its request had ended or all attempts permitted were used up. */
    NOT_SENT(true);

    private final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /**
     * Returns whether this outcome proves that the endpoint did not execute the request. For {@link #REJECTED}, this
     * holds only without {@link SafetyLimits#rejectedMayHaveExecuted}.
     */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
