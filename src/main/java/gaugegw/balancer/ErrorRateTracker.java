package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;

/** The shares of errors and of time-outs in the outcomes of all endpoints, as exponential averages from 0 to 1. */
final class ErrorRateTracker {
    /** Outcomes that the averages remember. */
    private static final double MEMORY_OUTCOMES = 256;
    /** Errors are common above this share of the outcomes. */
    private static final double COMMON_ERROR_SHARE = 0.015;

    private double errorShare;
    private double timeoutShare;

    /** Returns whether an outcome is an error: unlike a rejection or a time-out, overload does not explain it. */
    static boolean isError(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.CONNECT_FAILED
                || outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.RESET;
    }

    void record(AttemptOutcome outcome) {
        errorShare += ((isError(outcome) ? 1 : 0) - errorShare) / MEMORY_OUTCOMES;
        timeoutShare += ((outcome == AttemptOutcome.TIMEOUT ? 1 : 0) - timeoutShare) / MEMORY_OUTCOMES;
    }

    boolean errorsAreCommon() {
        return errorShare > COMMON_ERROR_SHARE;
    }

    /** Returns the share of time-outs, from 0 to 1. */
    double timeoutShare() {
        return timeoutShare;
    }
}
