package gaugegw.balancer;

/** Tracks the passive health of one endpoint, either overall or for one flow. */
final class HealthTracker {
    private final FailureBackoff backoff = new FailureBackoff();
    /**
     * When an attempt last ended other than by timeout or cancellation, or last started with no other in flight,
     * whichever is later.
     */
    private long lastProgressAtUs;

    private int inFlight;
    private boolean lastResultWasError;

    /** Returns the number of attempts in flight. */
    int inFlight() {
        return inFlight;
    }

    /** Returns whether no attempt may start because of an earlier failure. */
    boolean isBackingOff(long nowUs) {
        return backoff.state(nowUs) == FailureBackoff.State.BACKING_OFF;
    }

    /**
     * Returns whether another attempt may start: never during a backoff, only one at a time while probing after a
     * backoff, and otherwise unless the attempts in flight have stalled.
     *
     * @param maxStallUs time without progress after which attempts in flight have stalled, in microseconds
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
     * timeout or a rejection. An isolated error is ignored while errors are common at all endpoints. An error is
     * isolated if the previous result was not an error and the backoff is inactive.
     *
     * @param error whether the outcome is an error in the sense of {@link OutcomeRates#isError}
     * @param errorsAreCommon whether errors are common at all endpoints
     * @param initialBackoffUs the backoff after a first failure, in microseconds
     */
    void recordResult(boolean success, boolean error, boolean errorsAreCommon, long nowUs, long initialBackoffUs) {
        boolean isolatedError = error && !lastResultWasError && !backoff.hasRecentFailure();
        lastResultWasError = error;
        backoff.record(success || (isolatedError && errorsAreCommon), nowUs, initialBackoffUs);
    }
}
