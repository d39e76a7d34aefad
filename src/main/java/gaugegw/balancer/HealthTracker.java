package gaugegw.balancer;

/** Tracks the passive health of one endpoint, either overall or for one flow. */
final class HealthTracker {
    private final FailureBackoff backoff = new FailureBackoff();
    /**
     * When the last attempt ended other than by timeout or cancellation, or when the first of the attempts now in
     * flight started, whichever is later.
     */
    private long lastProgressAtUs;

    private int inFlight;
    private boolean lastWasError;

    /** Returns the number of attempts in flight. */
    int inFlight() {
        return inFlight;
    }

    boolean isBackingOff(long nowUs) {
        return backoff.state(nowUs) == FailureBackoff.State.BACKING_OFF;
    }

    /**
     * Returns whether another attempt may start: never during a backoff, one at a time while probing after a backoff,
     * and otherwise unless the attempts in flight have stalled.
     *
     * @param maxStallUs how long attempts in flight may go without progress, in microseconds
     */
    boolean isAvailable(long nowUs, long maxStallUs) {
        return switch (backoff.state(nowUs)) {
            case INACTIVE -> inFlight == 0 || nowUs - lastProgressAtUs < maxStallUs;
            case BACKING_OFF -> false;
            case PROBING -> inFlight == 0;
        };
    }

    void recordAttemptStarted(long nowUs) {
        lastProgressAtUs = inFlight == 0 ? nowUs : lastProgressAtUs;
        inFlight++;
    }

    /**
     * Records the end of an attempt.
     *
     * @param progress false if the attempt timed out or was cancelled, which does not show that the endpoint responds
     */
    void recordAttemptEnded(long nowUs, boolean progress) {
        inFlight--;
        lastProgressAtUs = progress ? nowUs : lastProgressAtUs;
    }

    /**
     * Records the result of an attempt. A success shortens the backoff. Any other result lengthens it, including a
     * timeout or a rejection. The exception is an isolated error, one that follows neither an error nor a remembered
     * failure: it is ignored while errors are common at all endpoints.
     *
     * @param error whether the outcome is an error in the sense of {@link OutcomeRates#isError}
     * @param errorsAreCommon whether errors are common at all endpoints
     * @param initialBackoffUs the backoff after a first failure, in microseconds
     */
    void recordResult(boolean success, boolean error, boolean errorsAreCommon, long nowUs, long initialBackoffUs) {
        boolean isolatedError = error && !lastWasError && !backoff.hasRecentFailure();
        lastWasError = error;
        backoff.record(success || (isolatedError && errorsAreCommon), nowUs, initialBackoffUs);
    }
}
