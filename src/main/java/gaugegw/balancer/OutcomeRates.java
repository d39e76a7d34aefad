package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;

/**
 * The error and timeout rates of attempts and the rejection rate of requests, each from 0 to 1. They are exponential
 * moving averages in which a new value has the weight 1 / window. The window is {@link
 * ControlParameters#OUTCOME_WINDOW_ATTEMPTS} for attempts and {@link ControlParameters#REJECTION_WINDOW_REQUESTS} for
 * requests.
 */
final class OutcomeRates {
    private double errorRate;
    private double timeoutRate;
    private double rejectionRate;

    /**
     * Returns whether an outcome is an error. Rejections and timeouts are not errors, because overload can cause them;
     * cancelled and unsent attempts are not, because they give no information about the endpoint.
     */
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

    /** Records a request whose final answer is a rejection or a failure. */
    void recordRejection() {
        rejectionRate += (1 - rejectionRate) / ControlParameters.REJECTION_WINDOW_REQUESTS;
    }

    /** Records a successful attempt, which lowers the rejection rate. */
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
