package gaugegw.balancer.api;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint answered the request successfully. */
    SUCCESS(false),
    /** The endpoint answered with an error. */
    ERROR(false),
    /** The endpoint rejected the request without reading it, because its queue is full or it is draining. */
    REJECTED(true),
    /** The request was sent, but no answer arrived within the timeout of the attempt. */
    TIMEOUT(false),
    /** No connection could be established, or the request could not be sent completely. */
    CONNECT_FAILED(true),
    /** The connection broke after the request was sent and before the answer was complete. */
    RESET(false),
    /** The attempt was cancelled by {@link Action.CancelAttempt}. */
    CANCELLED(false),
    /**
     * The attempt was not sent: the request had ended, the limits permitted no further attempt, the endpoint was not
     * available, or the proxy failed to send it.
     */
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
