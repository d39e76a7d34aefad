package gaugegw.balancer.api;

/** How an attempt ended. */
public enum AttemptOutcome {
    SUCCESS(false),
    ERROR(false),
    REJECTED(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true);

    private final boolean provesNotExecuted;

    AttemptOutcome(boolean neverRan) {
        this.provesNotExecuted = neverRan;
    }

    /** Returns whether this outcome proves that the backend never ran the request; but see {@link SafetyLimits}. */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
