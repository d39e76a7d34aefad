package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;

/** The shares of errors and time-outs in the attempts, and of rejections in the requests: exponential averages. */
final class OutcomeRates {
    /** Attempts that the shares of errors and time-outs remember. */
    private static final double ATTEMPT_MEMORY = 256;
    /** Ended requests that the share of rejections remembers. */
    private static final double REQUEST_MEMORY = 16;

    private double errorShare;
    private double timeoutShare;
    private double rejectionShare;

    /** Returns whether an outcome is an error: overload does not explain it, unlike a rejection or a time-out. */
    static boolean isError(AttemptOutcome outcome) {
        return switch (outcome) {
            case ERROR, CONNECT_FAILED, RESET -> true;
            case SUCCESS, REJECTED, TIMEOUT, CANCELLED, NOT_SENT -> false;
        };
    }

    /** Takes the outcome of an attempt that was sent and not cancelled. */
    void recordAttempt(AttemptOutcome outcome) {
        errorShare += ((isError(outcome) ? 1 : 0) - errorShare) / ATTEMPT_MEMORY;
        timeoutShare += ((outcome == AttemptOutcome.TIMEOUT ? 1 : 0) - timeoutShare) / ATTEMPT_MEMORY;
    }

    void recordRejection() {
        rejectionShare += (1 - rejectionShare) / REQUEST_MEMORY;
    }

    void recordSuccess() {
        rejectionShare -= rejectionShare / REQUEST_MEMORY;
    }

    double errorShare() {
        return errorShare;
    }

    double timeoutShare() {
        return timeoutShare;
    }

    double rejectionShare() {
        return rejectionShare;
    }
}
