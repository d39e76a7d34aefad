package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;

/**
 * The shares, from 0 to 1, of errors and time-outs in the attempts and of rejections in the requests. They are
 * exponential averages over {@link ControlPeriods#OUTCOME_ATTEMPTS} and {@link ControlPeriods#OUTCOME_REQUESTS}.
 */
final class OutcomeRates {
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
        errorShare += ((isError(outcome) ? 1 : 0) - errorShare) / ControlPeriods.OUTCOME_ATTEMPTS;
        timeoutShare += ((outcome == AttemptOutcome.TIMEOUT ? 1 : 0) - timeoutShare) / ControlPeriods.OUTCOME_ATTEMPTS;
    }

    void recordRejection() {
        rejectionShare += (1 - rejectionShare) / ControlPeriods.OUTCOME_REQUESTS;
    }

    void recordSuccess() {
        rejectionShare -= rejectionShare / ControlPeriods.OUTCOME_REQUESTS;
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
