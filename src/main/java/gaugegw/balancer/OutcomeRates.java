package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;

/**
 * The shares, from 0 to 1, of errors and time-outs in the attempts and of rejections in the requests. They are
 * exponential averages over {@link ControlParameters#OUTCOME_WINDOW_ATTEMPTS} and {@link
 * ControlParameters#REJECTION_WINDOW_REQUESTS}.
 */
final class OutcomeRates {
    private double errorRate;
    private double timeoutRate;
    private double rejectionRate;

    /** Returns whether an outcome is an error: overload does not explain it, unlike a rejection or a time-out. */
    static boolean isError(AttemptOutcome outcome) {
        return switch (outcome) {
            case ERROR, CONNECT_FAILED, RESET -> true;
            case SUCCESS, REJECTED, TIMEOUT, CANCELLED, NOT_SENT -> false;
        };
    }

    /** Takes the outcome of an attempt that was sent and not cancelled. */
    void recordAttempt(AttemptOutcome outcome) {
        errorRate += ((isError(outcome) ? 1 : 0) - errorRate) / ControlParameters.OUTCOME_WINDOW_ATTEMPTS;
        timeoutRate +=
                ((outcome == AttemptOutcome.TIMEOUT ? 1 : 0) - timeoutRate) / ControlParameters.OUTCOME_WINDOW_ATTEMPTS;
    }

    void recordRejection() {
        rejectionRate += (1 - rejectionRate) / ControlParameters.REJECTION_WINDOW_REQUESTS;
    }

    void recordSuccess() {
        rejectionRate -= rejectionRate / ControlParameters.REJECTION_WINDOW_REQUESTS;
    }

    double errorRate() {
        return errorRate;
    }

    double timeoutRate() {
        return timeoutRate;
    }

    double rejectionRate() {
        return rejectionRate;
    }
}
