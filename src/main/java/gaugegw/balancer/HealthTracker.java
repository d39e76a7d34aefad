package gaugegw.balancer;

/**
 * The passive health of an endpoint as a whole, or of one flow there: attempts in flight, when the endpoint was last
 * heard, and the backoff after failures.
 */
final class HealthTracker {
    private final FailureBackoff backoff;
    private int inFlight;
    /** When the endpoint last answered, or when the first of the attempts now in flight began. */
    private long lastHeardAtUs;

    private boolean lastWasError;

    /**
     * Starts healthy.
     *
     * @param backoffPeriodUs the backoff after a first failure, in microseconds
     */
    HealthTracker(long backoffPeriodUs) {
        this.backoff = new FailureBackoff(backoffPeriodUs);
    }

    /** Returns the number of attempts in flight. */
    int inFlight() {
        return inFlight;
    }

    boolean isBackingOff(long nowUs) {
        return backoff.state(nowUs) == FailureBackoff.State.BACKING_OFF;
    }

    /**
     * Returns whether an attempt may begin: not during a backoff; one at a time while probing; otherwise unless
     * attempts are in flight and the endpoint has been silent for too long.
     *
     * @param maxSilenceUs how long a healthy endpoint with attempts in flight may be silent, in microseconds
     */
    boolean mayReceive(long nowUs, long maxSilenceUs) {
        return switch (backoff.state(nowUs)) {
            case BACKING_OFF -> false;
            case PROBING -> inFlight == 0;
            case CLOSED -> inFlight == 0 || nowUs - lastHeardAtUs < maxSilenceUs;
        };
    }

    void attemptStarted(long nowUs) {
        if (inFlight == 0) {
            lastHeardAtUs = nowUs;
        }
        inFlight++;
    }

    /**
     * Counts an attempt as no longer in flight.
     *
     * @param heard whether the endpoint gave a sign of life; a time-out or a cancellation is none
     */
    void attemptEnded(long nowUs, boolean heard) {
        inFlight--;
        if (heard) {
            lastHeardAtUs = nowUs;
        }
    }

    /**
     * Takes the result of an attempt into the backoff. Where errors are common at all endpoints, an isolated error
     * says nothing about this one and counts as a success; the next in a row counts as a failure.
     *
     * @param success whether the attempt succeeded, as far as this tracker judges it
     * @param error whether it ended with an error; rejections and time-outs are failures but no errors
     * @param errorsAreCommon whether errors are common at all endpoints
     */
    void recordResult(boolean success, boolean error, boolean errorsAreCommon, long nowUs) {
        boolean isolatedError = error && !lastWasError && !backoff.hasRecentFailures();
        lastWasError = error;
        if (success || (isolatedError && errorsAreCommon)) {
            backoff.recordSuccess(nowUs);
        } else {
            backoff.recordFailure(nowUs);
        }
    }
}
