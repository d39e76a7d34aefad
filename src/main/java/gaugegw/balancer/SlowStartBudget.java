package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.SafetyLimits;

/**
 * Limits the attempts at an endpoint that has just started. The invariant: in any overload window, all proxies together
 * start fewer than the overload multiple times its present capacity, or it would fail before it is warm.
 */
final class SlowStartBudget {
    /** Part of the budget that is used, as requests differ in size and the capacity is an estimate. */
    private static final double SAFETY_MARGIN = 0.4;

    private static final double FULLY_WARM = 1;

    private final BalancerSettings settings;
    private final EndpointMembership membership;
    private final LoadStatistics load;

    SlowStartBudget(BalancerSettings settings, EndpointMembership membership, LoadStatistics load) {
        this.settings = settings;
        this.membership = membership;
        this.load = load;
    }

    boolean isWarmingUp(EndpointRecord endpoint, long nowUs) {
        return warmUpFraction(endpoint, nowUs) < FULLY_WARM;
    }

    /** Returns whether this proxy may start an attempt at an endpoint now: always once it is warm. */
    boolean mayStartAttempt(EndpointRecord endpoint, long nowUs) {
        double warmUpFraction = warmUpFraction(endpoint, nowUs);
        if (warmUpFraction >= FULLY_WARM) {
            return true;
        }
        SafetyLimits limits = settings.safetyLimits();
        double budgetPerUs = SAFETY_MARGIN * limits.overloadMultiple() * warmUpFraction * capacityPerUs(endpoint);
        return endpoint.slowStartTokens().available(budgetPerUs, limits.overloadWindowUs(), nowUs) >= 1;
    }

    /** Returns the part of its capacity that an endpoint is sure to have, up to 1; it grows evenly from its start. */
    private double warmUpFraction(EndpointRecord endpoint, long nowUs) {
        SafetyLimits limits = settings.safetyLimits();
        long startedAtUs = endpoint.listEntry().startedAtUs();
        if (startedAtUs <= 0 || nowUs - startedAtUs >= limits.slowStartUs()) {
            return FULLY_WARM;
        }
        return limits.initialCapacityFraction()
                + (1 - limits.initialCapacityFraction()) * Math.max(0, nowUs - startedAtUs) / limits.slowStartUs();
    }

    /**
     * Returns an estimate of the capacity at full warmth that is this proxy's part, in attempts per microsecond: what
     * endpoints of its weight answer to this proxy, but at least one attempt at a time from all proxies together.
     */
    private double capacityPerUs(EndpointRecord endpoint) {
        LatencyAverage kind = endpoint.latency().kind();
        double requestUs = kind.samples() > 0
                ? kind.meanUs()
                : settings.requestClasses().get(0).latencyObjectiveUs();
        int endpointCount = membership.readyEndpoints().size();
        double byThroughputPerUs = load.endpointThroughputPerUs() * endpoint.weight() * endpointCount;
        return Math.max(1 / (requestUs * settings.proxyCount()), byThroughputPerUs);
    }
}
