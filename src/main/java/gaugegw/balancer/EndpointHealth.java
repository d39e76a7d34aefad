package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import java.util.stream.Stream;

/** Guards against endpoints that hang, that cannot be reached, or that fail the requests of some flows only. */
final class EndpointHealth {
    /** Above this share of all attempts, an isolated error tells nothing of an endpoint. */
    private static final double COMMON_ERROR_SHARE = 0.015;

    private final ControlPeriods periods;
    private final HealthTracker whole = new HealthTracker();
    private final HealthTracker[] byFlow;

    EndpointHealth(int flowCount, ControlPeriods periods) {
        this.periods = periods;
        this.byFlow = Stream.generate(HealthTracker::new).limit(flowCount).toArray(HealthTracker[]::new);
    }

    int attemptsInFlight() {
        return whole.inFlight();
    }

    /** Returns whether a flow's attempt may begin. A silence no longer than the mean latency of the kind is no fault. */
    boolean isHealthy(int flow, double kindMeanUs, long nowUs) {
        long maxSilenceUs = (long) Math.max(2 * periods.latencyBudgetUs(), kindMeanUs);
        return whole.mayReceive(nowUs, maxSilenceUs) && byFlow[flow].mayReceive(nowUs, maxSilenceUs);
    }

    /** Returns whether the endpoint is in backoff after a failure, for all flows or for this one. */
    boolean isBackingOff(int flow, long nowUs) {
        return whole.isBackingOff(nowUs) || byFlow[flow].isBackingOff(nowUs);
    }

    void attemptStarted(int flow, long nowUs) {
        whole.attemptStarted(nowUs);
        byFlow[flow].attemptStarted(nowUs);
    }

    void attemptEnded(int flow, AttemptOutcome outcome, long nowUs) {
        boolean heard = outcome != AttemptOutcome.TIMEOUT && outcome != AttemptOutcome.CANCELLED;
        whole.attemptEnded(nowUs, heard);
        byFlow[flow].attemptEnded(nowUs, heard);
    }

    /** Takes an outcome: what cannot be reached fails for all flows, any other failure concerns its flow alone. */
    void recordOutcome(int flow, AttemptOutcome outcome, double errorShare, long nowUs) {
        boolean unreachable = outcome == AttemptOutcome.CONNECT_FAILED;
        boolean success = outcome == AttemptOutcome.SUCCESS;
        boolean error = OutcomeRates.isError(outcome);
        boolean errorsAreCommon = errorShare > COMMON_ERROR_SHARE;
        whole.recordResult(!unreachable, unreachable, errorsAreCommon, nowUs, periods.refreshUs());
        byFlow[flow].recordResult(success, error, errorsAreCommon, nowUs, periods.refreshUs());
    }
}
