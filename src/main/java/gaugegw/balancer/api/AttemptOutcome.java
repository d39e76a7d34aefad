package gaugegw.balancer.api;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint answered the request successfully. */
    SUCCESS(false),
    /** The endpoint answered with an error. */
    ERROR(false),
    /** The endpoint rejected the request unread, because its queue is full or because it drains. */
    REJECTED(true),
    /** No answer arrived within the timeout of the attempt. */
    TIMEOUT(false),
    /** No connection could be established in time. */
    CONNECT_FAILED(true),
    /** The connection broke before the answer was complete. */
    RESET(false),
    /** The attempt was cancelled by {@link Action.CancelAttempt}. */
    CANCELLED(false),
    /** The attempt was not sent, because its request had ended or had used up the attempts that are permitted. */
    NOT_SENT(true);

    private final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /**
     * Returns whether this outcome proves that the endpoint did not execute the request. {@link #REJECTED} does not
     * prove it if {@link SafetyLimits#rejectedMayHaveExecuted} is set.
     */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
