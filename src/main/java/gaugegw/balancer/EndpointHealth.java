package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import java.util.stream.Stream;

/**
 * The passive health of one endpoint, by the outcomes of its attempts, as a whole and for each flow. Guards against
 * endpoints that hang, that cannot be reached, or that fail the requests of some flows only.
 */
final class EndpointHealth {
    /** Whether an endpoint may receive the attempts of a flow. */
    enum Condition {
        HEALTHY,
        /** Gone silent, or probed by another attempt. */
        SUSPECT,
        /** In backoff after a failure. */
        FAILING
    }

    /** Above this share of all attempts, an isolated error says nothing about an endpoint. */
    private static final double COMMON_ERROR_SHARE = 0.015;
    /** An endpoint is suspect only once it has been silent for this many latency budgets. */
    private static final int SILENCE_LATENCY_BUDGETS = 2;

    private final ControlParameters parameters;
    private final HealthTracker whole = new HealthTracker();
    private final HealthTracker[] byFlow;

    EndpointHealth(int flowCount, ControlParameters parameters) {
        this.parameters = parameters;
        this.byFlow = Stream.generate(HealthTracker::new).limit(flowCount).toArray(HealthTracker[]::new);
    }

    int attemptsInFlight() {
        return whole.inFlight();
    }

    /**
     * Returns the condition of the endpoint for a flow: the worse of its condition as a whole and for this flow. An
     * endpoint that is silent for no longer than the mean latency of its kind is not suspect, it may just be busy.
     *
     * @param kindMeanUs the mean latency of the endpoint's kind, in microseconds
     */
    Condition condition(int flow, double kindMeanUs, long nowUs) {
        long maxSilenceUs = (long) Math.max(SILENCE_LATENCY_BUDGETS * parameters.latencyBudgetUs(), kindMeanUs);
        if (whole.mayReceive(nowUs, maxSilenceUs) && byFlow[flow].mayReceive(nowUs, maxSilenceUs)) {
            return Condition.HEALTHY;
        }
        boolean backingOff = whole.isBackingOff(nowUs) || byFlow[flow].isBackingOff(nowUs);
        return backingOff ? Condition.FAILING : Condition.SUSPECT;
    }

    void recordAttemptStarted(int flow, long nowUs) {
        whole.recordAttemptStarted(nowUs);
        byFlow[flow].recordAttemptStarted(nowUs);
    }

    void recordAttemptEnded(int flow, AttemptOutcome outcome, long nowUs) {
        boolean heard = outcome != AttemptOutcome.TIMEOUT && outcome != AttemptOutcome.CANCELLED;
        whole.recordAttemptEnded(nowUs, heard);
        byFlow[flow].recordAttemptEnded(nowUs, heard);
    }

    /** Takes an outcome: what cannot be reached fails for all flows, any other failure concerns its flow alone. */
    void recordOutcome(int flow, AttemptOutcome outcome, double errorRate, long nowUs) {
        boolean unreachable = outcome == AttemptOutcome.CONNECT_FAILED;
        boolean success = outcome == AttemptOutcome.SUCCESS;
        boolean error = OutcomeRates.isError(outcome);
        boolean errorsAreCommon = errorRate > COMMON_ERROR_SHARE;
        whole.recordResult(!unreachable, unreachable, errorsAreCommon, nowUs, parameters.refreshPeriodUs());
        byFlow[flow].recordResult(success, error, errorsAreCommon, nowUs, parameters.refreshPeriodUs());
    }
}
