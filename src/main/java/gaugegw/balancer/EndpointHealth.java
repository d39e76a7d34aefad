package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import java.util.stream.Stream;

/**
 * The passive health of one endpoint: tracks the outcomes of its attempts, overall and for each flow. This detects
 * endpoints that hang, that are unreachable, or that fail the requests of some flows only.
 */
final class EndpointHealth {
    /** Whether an endpoint should receive the attempts of a flow. */
    enum Condition {
        HEALTHY,
        /** Its attempts in flight have stalled, or an attempt is probing it after a backoff. */
        SUSPECT,
        /** In backoff after a failure. */
        FAILING
    }

    /** Above this error rate over all endpoints, an isolated error is not evidence against one endpoint. */
    private static final double COMMON_ERROR_RATE = 0.015;
    /** Minimum time without progress before an endpoint becomes suspect, in latency budgets. */
    private static final int MIN_STALL_LATENCY_BUDGETS = 2;

    private final ControlParameters parameters;
    private final HealthTracker overall = new HealthTracker();
    private final HealthTracker[] byFlow;

    EndpointHealth(int flowCount, ControlParameters parameters) {
        this.parameters = parameters;
        this.byFlow = Stream.generate(HealthTracker::new).limit(flowCount).toArray(HealthTracker[]::new);
    }

    /** Returns the number of attempts in flight at this endpoint, over all flows. */
    int attemptsInFlight() {
        return overall.inFlight();
    }

    /**
     * Returns the condition of the endpoint for a flow: the worse of its overall condition and its condition for this
     * flow. An endpoint without progress for less than the mean latency of its kind is not suspect, because it may just
     * be busy.
     *
     * @param kindMeanUs the mean latency of the endpoint's kind, in microseconds
     */
    Condition condition(int flow, double kindMeanUs, long nowUs) {
        long maxStallUs = (long) Math.max(MIN_STALL_LATENCY_BUDGETS * parameters.latencyBudgetUs(), kindMeanUs);
        if (overall.isAvailable(nowUs, maxStallUs) && byFlow[flow].isAvailable(nowUs, maxStallUs)) {
            return Condition.HEALTHY;
        }
        boolean backingOff = overall.isBackingOff(nowUs) || byFlow[flow].isBackingOff(nowUs);
        return backingOff ? Condition.FAILING : Condition.SUSPECT;
    }

    /** Records the start of an attempt. */
    void recordAttemptStarted(int flow, long nowUs) {
        overall.recordAttemptStarted(nowUs);
        byFlow[flow].recordAttemptStarted(nowUs);
    }

    /** Records the end of an attempt, which counts as progress unless it timed out or was cancelled. */
    void recordAttemptEnded(int flow, AttemptOutcome outcome, long nowUs) {
        boolean progress = outcome != AttemptOutcome.TIMEOUT && outcome != AttemptOutcome.CANCELLED;
        overall.recordAttemptEnded(nowUs, progress);
        byFlow[flow].recordAttemptEnded(nowUs, progress);
    }

    /**
     * Records the outcome of an attempt. A failure to connect counts against the endpoint for all flows, any other
     * failure only for the flow of the attempt.
     *
     * @param errorRate the error rate of attempts at all endpoints, from 0 to 1
     */
    void recordOutcome(int flow, AttemptOutcome outcome, double errorRate, long nowUs) {
        boolean unreachable = outcome == AttemptOutcome.CONNECT_FAILED;
        boolean success = outcome == AttemptOutcome.SUCCESS;
        boolean error = OutcomeRates.isError(outcome);
        boolean errorsAreCommon = errorRate > COMMON_ERROR_RATE;
        overall.recordResult(!unreachable, unreachable, errorsAreCommon, nowUs, parameters.refreshPeriodUs());
        byFlow[flow].recordResult(success, error, errorsAreCommon, nowUs, parameters.refreshPeriodUs());
    }
}
