package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;

/** Updates the health, latency and load statistics with the outcome of an attempt. */
final class AttemptOutcomeRecorder {
    private final OutcomeRates rates;
    private final LoadStatistics load;

    AttemptOutcomeRecorder(OutcomeRates rates, LoadStatistics load) {
        this.rates = rates;
        this.load = load;
    }

    /** Records the outcome of an attempt that has ended. */
    void record(PendingRequest request, AttemptRecord attempt, AttemptEnded event, long nowUs) {
        AttemptOutcome outcome = event.outcome();
        // A cancelled or unsent attempt says nothing about the endpoint.
        boolean concernsEndpoint = outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.NOT_SENT;
        if (concernsEndpoint) {
            rates.recordAttempt(outcome);
            attempt.endpoint().health().recordOutcome(request.flow(), outcome, rates.errorRate(), nowUs);
            attempt.endpoint().latency().record(effectiveLatencyUs(request, attempt, event));
        }
        if (outcome == AttemptOutcome.SUCCESS) {
            load.recordResponse(event.latencyUs(), nowUs);
            rates.recordSuccess();
        }
    }

    /**
     * Returns the latency to record, in microseconds. A failure counts as a slow response; otherwise an endpoint that
     * fails fast would gain weight.
     */
    private static long effectiveLatencyUs(PendingRequest request, AttemptRecord attempt, AttemptEnded event) {
        return switch (event.outcome()) {
            case SUCCESS -> event.latencyUs();
            case ERROR -> request.requestClass().latencyObjectiveUs();
            case REJECTED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT -> attempt.timeoutUs();
        };
    }
}
