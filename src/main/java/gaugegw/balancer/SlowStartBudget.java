package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.SafetyLimits;

/**
 * Limits the attempts at an endpoint in slow start, the time after the start of its process in which it has only a part
 * of its capacity, see {@link SafetyLimits}. Within any overload window, all proxies together should start fewer
 * attempts than the endpoint can serve in that time at its current capacity, multiplied by {@link
 * SafetyLimits#overloadMultiple}. More would make the endpoint fail.
 */
final class SlowStartBudget {
    /**
     * Fraction of the permitted load that is used. The margin is needed because requests vary in cost, the capacity is
     * an estimate, and {@link SlowStartTokenBucket} may exceed a small budget by half within one window.
     */
    private static final double BUDGET_FRACTION = 0.4;

    private static final double FULL_CAPACITY = 1;

    private final BalancerSettings settings;
    private final EndpointMembership membership;
    private final LoadStatistics load;

    SlowStartBudget(BalancerSettings settings, EndpointMembership membership, LoadStatistics load) {
        this.settings = settings;
        this.membership = membership;
        this.load = load;
    }

    /** Returns whether an endpoint is in slow start. */
    boolean isInSlowStart(EndpointRecord endpoint, long nowUs) {
        return capacityFraction(endpoint, nowUs) < FULL_CAPACITY;
    }

    /** Returns whether this proxy may start an attempt at an endpoint now; always true after slow start. */
    boolean permitsAttempt(EndpointRecord endpoint, long nowUs) {
        double capacityFraction = capacityFraction(endpoint, nowUs);
        if (capacityFraction >= FULL_CAPACITY) {
            return true;
        }
        SafetyLimits limits = settings.safetyLimits();
        double budgetPerUs = BUDGET_FRACTION * limits.overloadMultiple() * capacityFraction * capacityPerUs(endpoint);
        return endpoint.slowStartTokens().available(budgetPerUs, limits.overloadWindowUs(), nowUs) >= 1;
    }

    /**
     * Returns the minimum capacity of an endpoint, as a fraction of its full capacity. It grows linearly from {@link
     * SafetyLimits#initialCapacityFraction}, when the process starts, to 1 at the end of slow start. A start time in
     * the future is treated as now.
     */
    private double capacityFraction(EndpointRecord endpoint, long nowUs) {
        SafetyLimits limits = settings.safetyLimits();
        long startedAtUs = endpoint.listEntry().startedAtUs();
        if (startedAtUs <= 0 || nowUs - startedAtUs >= limits.slowStartUs()) {
            return FULL_CAPACITY;
        }
        return limits.initialCapacityFraction()
                + (1 - limits.initialCapacityFraction()) * Math.max(0, nowUs - startedAtUs) / limits.slowStartUs();
    }

    /**
     * Estimates the part of an endpoint's full capacity that this proxy may use, in attempts per microsecond. It is the
     * larger of two values:
     *
     * <ul>
     *   <li>the throughput that this proxy gets from an average endpoint, times the weight of this endpoint relative to
     *       the average weight, which is 1 / number of endpoints; and
     *   <li>this proxy's equal share of an endpoint that serves one request at a time: 1 / (mean latency of the kind *
     *       number of proxies). Until the kind has samples, the latency objective of the first request class replaces
     *       the mean latency.
     * </ul>
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
