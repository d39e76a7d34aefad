package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.SafetyLimits;

/**
 * Limits the attempts at an endpoint in slow start. The invariant: within any overload window, all proxies together
 * start fewer attempts than the endpoint's present capacity in that time multiplied by {@link
 * SafetyLimits#overloadMultiple}. More would make the endpoint fail before it is warm.
 */
final class SlowStartBudget {
    /** Fraction of the permitted load that is used, as requests vary in cost and the capacity is an estimate. */
    private static final double BUDGET_FRACTION = 0.4;

    private static final double FULLY_WARM = 1;

    private final BalancerSettings settings;
    private final EndpointMembership membership;
    private final LoadStatistics load;

    SlowStartBudget(BalancerSettings settings, EndpointMembership membership, LoadStatistics load) {
        this.settings = settings;
        this.membership = membership;
        this.load = load;
    }

    /** Returns whether an endpoint is in slow start. */
    boolean isWarmingUp(EndpointRecord endpoint, long nowUs) {
        return warmUpFraction(endpoint, nowUs) < FULLY_WARM;
    }

    /** Returns whether this proxy may start an attempt at an endpoint now; always true after slow start. */
    boolean permitsAttempt(EndpointRecord endpoint, long nowUs) {
        double warmUpFraction = warmUpFraction(endpoint, nowUs);
        if (warmUpFraction >= FULLY_WARM) {
            return true;
        }
        SafetyLimits limits = settings.safetyLimits();
        double budgetPerUs = BUDGET_FRACTION * limits.overloadMultiple() * warmUpFraction * capacityPerUs(endpoint);
        return endpoint.slowStartTokens().available(budgetPerUs, limits.overloadWindowUs(), nowUs) >= 1;
    }

    /**
     * Returns the guaranteed fraction of an endpoint's full capacity. It grows linearly from the initial fraction, when
     * the process starts, to 1 at the end of slow start.
     */
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
     * Estimates the part of an endpoint's full capacity that this proxy may use, in attempts per microsecond. The
     * estimate is the throughput that this proxy gets from endpoints of the same weight, but at least an equal part,
     * among all proxies, of one request at a time.
     */
    private double capacityPerUs(EndpointRecord endpoint) {
        LatencyAverage kindAverage = endpoint.latency().kindAverage();
        double requestUs = kindAverage.sampleCount() > 0
                ? kindAverage.meanUs()
                : settings.requestClasses().get(0).latencyObjectiveUs();
        int endpointCount = membership.readyEndpoints().size();
        double byThroughputPerUs = load.endpointThroughputPerUs() * endpoint.weight() * endpointCount;
        return Math.max(1 / (requestUs * settings.proxyCount()), byThroughputPerUs);
    }
}
