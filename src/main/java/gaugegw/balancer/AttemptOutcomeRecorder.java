package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;

/** Feeds the outcome of an attempt to the health, latency and load statistics. */
final class AttemptOutcomeRecorder {
    private final OutcomeRates rates;
    private final LoadStatistics load;

    AttemptOutcomeRecorder(OutcomeRates rates, LoadStatistics load) {
        this.rates = rates;
        this.load = load;
    }

    void record(PendingRequest request, AttemptRecord attempt, AttemptEnded event, long nowUs) {
        AttemptOutcome outcome = event.outcome();
        boolean causedByEndpoint = outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.NOT_SENT;
        if (causedByEndpoint) {
            rates.recordAttempt(outcome);
            attempt.endpoint().health().recordOutcome(request.flow(), outcome, rates.errorRate(), nowUs);
            attempt.endpoint().latency().record(effectiveLatencyUs(request, attempt, event));
        }
        if (outcome == AttemptOutcome.SUCCESS) {
            load.recordResponse(event.latencyUs(), nowUs);
            rates.recordSuccess();
        }
    }

    /** A failure counts as a slow answer, or an endpoint that fails fast would gain weight by it. In microseconds. */
    private static long effectiveLatencyUs(PendingRequest request, AttemptRecord attempt, AttemptEnded event) {
        return switch (event.outcome()) {
            case SUCCESS -> event.latencyUs();
            case ERROR -> request.requestClass().latencyObjectiveUs();
            case REJECTED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT -> attempt.timeoutUs();
        };
    }
}
