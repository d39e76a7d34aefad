package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;

/**
 * The passive health of one endpoint: a tracker for the endpoint as a whole and one for each flow, the requests of one
 * class and tenant. Guards against endpoints that hang, that cannot be reached, or that fail some requests only.
 */
final class EndpointHealth {
    private final HealthTracker whole;
    private final HealthTracker[] byFlow;
    private final long minSilenceUs;

    /**
     * Starts healthy.
     *
     * @param flowCount number of flows, see {@link RequestFlows}
     */
    EndpointHealth(int flowCount, ControlPeriods periods) {
        this.whole = new HealthTracker(periods.refreshUs());
        this.byFlow = new HealthTracker[flowCount];
        for (int flow = 0; flow < flowCount; flow++) {
            byFlow[flow] = new HealthTracker(periods.refreshUs());
        }
        this.minSilenceUs = 2 * periods.latencyBudgetUs();
    }

    /** Returns the attempts of all flows in flight at the endpoint. */
    int attemptsInFlight() {
        return whole.inFlight();
    }

    /**
     * Returns whether the endpoint is healthy for a flow.
     *
     * @param kindMeanUs mean latency of the endpoint's kind, in microseconds: silence shorter than that is no fault
     */
    boolean isHealthy(int flow, double kindMeanUs, long nowUs) {
        long maxSilenceUs = (long) Math.max(minSilenceUs, kindMeanUs);
        return whole.mayReceive(nowUs, maxSilenceUs) && byFlow[flow].mayReceive(nowUs, maxSilenceUs);
    }

    /** Returns whether a failure of the endpoint, or of this flow there, is so recent that it is in backoff. */
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

    /**
     * Takes an outcome that tells something about the endpoint. An endpoint that cannot be reached fails for all
     * flows; any other failure concerns the flow alone.
     *
     * @param errorsAreCommon whether errors are common at all endpoints, see {@link ErrorRateTracker}
     */
    void recordOutcome(int flow, AttemptOutcome outcome, boolean errorsAreCommon, long nowUs) {
        boolean unreachable = outcome == AttemptOutcome.CONNECT_FAILED;
        whole.recordResult(!unreachable, unreachable, errorsAreCommon, nowUs);
        boolean success = outcome == AttemptOutcome.SUCCESS;
        byFlow[flow].recordResult(success, ErrorRateTracker.isError(outcome), errorsAreCommon, nowUs);
    }
}
