package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;

/**
 * The error and timeout rates of attempts and the rejection rate of requests, each from 0 to 1. They are exponential
 * moving averages over {@link ControlParameters#OUTCOME_WINDOW_ATTEMPTS} attempts and {@link
 * ControlParameters#REJECTION_WINDOW_REQUESTS} requests.
 */
final class OutcomeRates {
    private double errorRate;
    private double timeoutRate;
    private double rejectionRate;

    /** Returns whether an outcome is an error. Rejections and timeouts are not, because overload can cause them. */
    static boolean isError(AttemptOutcome outcome) {
        return switch (outcome) {
            case ERROR, CONNECT_FAILED, RESET -> true;
            case SUCCESS, REJECTED, TIMEOUT, CANCELLED, NOT_SENT -> false;
        };
    }

    /** Records the outcome of an attempt that was sent and was not cancelled. */
    void recordAttempt(AttemptOutcome outcome) {
        errorRate += ((isError(outcome) ? 1 : 0) - errorRate) / ControlParameters.OUTCOME_WINDOW_ATTEMPTS;
        timeoutRate +=
                ((outcome == AttemptOutcome.TIMEOUT ? 1 : 0) - timeoutRate) / ControlParameters.OUTCOME_WINDOW_ATTEMPTS;
    }

    /** Records a request that was rejected or that failed for good. */
    void recordRejection() {
        rejectionRate += (1 - rejectionRate) / ControlParameters.REJECTION_WINDOW_REQUESTS;
    }

    /** Records a successful attempt. */
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
