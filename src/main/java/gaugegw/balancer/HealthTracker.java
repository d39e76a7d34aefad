package gaugegw.balancer;

/** The passive health of an endpoint as a whole, or of one flow there. */
final class HealthTracker {
    private final FailureBackoff backoff = new FailureBackoff();
    /** When the endpoint last gave a sign of life, or the first of the attempts now in flight began. */
    private long lastHeardAtUs;

    private int inFlight;
    private boolean lastWasError;

    int inFlight() {
        return inFlight;
    }

    boolean isBackingOff(long nowUs) {
        return backoff.state(nowUs) == FailureBackoff.State.BACKING_OFF;
    }

    /**
     * Returns whether an attempt may begin: while probing one at a time, else unless the endpoint has gone silent.
     *
     * @param maxSilenceUs how long attempts in flight may go without a sign of life, in microseconds
     */
    boolean mayReceive(long nowUs, long maxSilenceUs) {
        return switch (backoff.state(nowUs)) {
            case CLOSED -> inFlight == 0 || nowUs - lastHeardAtUs < maxSilenceUs;
            case BACKING_OFF -> false;
            case PROBING -> inFlight == 0;
        };
    }

    void recordAttemptStarted(long nowUs) {
        lastHeardAtUs = inFlight == 0 ? nowUs : lastHeardAtUs;
        inFlight++;
    }

    /**
     * Takes the end of an attempt.
     *
     * @param heard false if it ended by a time-out or a cancellation, which are no sign of life
     */
    void recordAttemptEnded(long nowUs, boolean heard) {
        inFlight--;
        lastHeardAtUs = heard ? nowUs : lastHeardAtUs;
    }

    /**
     * Takes the result of an attempt. A success shortens the backoff and anything else lengthens it, a time-out and a
     * rejection included; but where errors are common at all endpoints, only the second error in a row does.
     *
     * @param error whether it was an error of the endpoint or the connection, as counted by {@link OutcomeRates}
     * @param backoffPeriodUs the backoff after a first failure, in microseconds
     */
    void recordResult(boolean success, boolean error, boolean errorsAreCommon, long nowUs, long backoffPeriodUs) {
        boolean isolatedError = error && !lastWasError && !backoff.hasRecentFailure();
        lastWasError = error;
        backoff.record(success || (isolatedError && errorsAreCommon), nowUs, backoffPeriodUs);
    }
}
