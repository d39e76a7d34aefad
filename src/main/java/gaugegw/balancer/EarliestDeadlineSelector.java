package gaugegw.balancer;

/**
 * Selects the endpoint for an attempt. Among the eligible endpoints, the best {@link PreferenceTier} wins, then the
 * earliest deadline, then the position in this proxy's endpoint order. An endpoint is eligible if:
 *
 * <ul>
 *   <li>{@link DuplicateExecutionGuard} permits the attempt there,
 *   <li>it is in this proxy's {@link EndpointSubset},
 *   <li>it has fewer attempts in flight than its fair share, and
 *   <li>its {@link SlowStartBudget} permits another attempt.
 * </ul>
 *
 * <p>The deadline of an endpoint is (virtual time + 1) / weight, as in weighted fair queueing. It is unrelated to the
 * deadline of a request.
 */
final class EarliestDeadlineSelector {
    /** Multiplies the weight of an endpoint in the proxy's own zone. */
    private static final double SAME_ZONE_WEIGHT_FACTOR = 4;
    /** Multiplies the weight of the endpoint that probably has the request's key in its cache. */
    private static final double CACHE_AFFINITY_WEIGHT_FACTOR = 4;
    /**
     * Share of the permitted endpoints above which their health is ignored. If so many are unhealthy, the likely cause
     * is this proxy's own network or a general overload, not the endpoints.
     */
    private static final double PANIC_THRESHOLD = 0.75;

    private final EndpointMembership membership;
    private final EndpointSubset subset;
    private final DuplicateExecutionGuard duplicateGuard;
    private final SlowStartBudget slowStart;
    private final ConcurrencyLimiter limiter;

    EarliestDeadlineSelector(
            EndpointMembership membership,
            EndpointSubset subset,
            DuplicateExecutionGuard duplicateGuard,
            SlowStartBudget slowStart,
            ConcurrencyLimiter limiter) {
        this.membership = membership;
        this.subset = subset;
        this.duplicateGuard = duplicateGuard;
        this.slowStart = slowStart;
        this.limiter = limiter;
    }

    /** Returns the endpoint for the next attempt of a request, or null if no endpoint may receive it now. */
    EndpointRecord select(PendingRequest request, long nowUs) {
        EndpointRecord best = null;
        EndpointHealth.Condition bestCondition = EndpointHealth.Condition.FAILING;
        PreferenceTier bestTier = PreferenceTier.FAILING_ALREADY_TRIED;
        double bestDeadline = Double.POSITIVE_INFINITY;
        int permittedCount = 0;
        int unhealthyCount = 0;
        int failingCount = 0;
        double remainingSubsetSize = subset.size(nowUs);
        for (EndpointRecord endpoint : membership.readyEndpoints()) {
            if (!duplicateGuard.permitsAttempt(request, endpoint, nowUs)) {
                continue;
            }
            EndpointHealth.Condition condition = endpoint.condition(request.flow(), nowUs);
            boolean healthy = condition == EndpointHealth.Condition.HEALTHY;
            permittedCount++;
            unhealthyCount += healthy ? 0 : 1;
            failingCount += condition == EndpointHealth.Condition.FAILING ? 1 : 0;
            boolean warmingUp = slowStart.isWarmingUp(endpoint, nowUs);
            // An endpoint in slow start is open to every proxy: the few proxies that have it in their subset could not
            // use up its budget, because each of them may use only its own part.
            boolean inSubset = !healthy || remainingSubsetSize > 0 || warmingUp;
            PreferenceTier tier = PreferenceTier.of(condition, request.hasTried(endpoint));
            double deadline = deadline(endpoint, request);
            if (inSubset
                    && isPreferred(tier, deadline, bestTier, bestDeadline)
                    && isBelowFairShare(endpoint)
                    && slowStart.permitsAttempt(endpoint, nowUs)) {
                best = endpoint;
                bestCondition = condition;
                bestTier = tier;
                bestDeadline = deadline;
            }
            remainingSubsetSize -= healthy && subset.countsTowardSize(endpoint, warmingUp) ? 1 : 0;
        }
        return isAcceptable(bestCondition, permittedCount, unhealthyCount, failingCount) ? best : null;
    }

    /** Returns whether an endpoint is preferred to the best one so far: by tier, then by deadline. */
    private static boolean isPreferred(
            PreferenceTier tier, double deadline, PreferenceTier bestTier, double bestDeadline) {
        if (tier == bestTier) {
            return deadline < bestDeadline;
        }
        // A weight of zero or NaN yields no finite deadline; such an endpoint is never selected.
        return tier.isPreferredTo(bestTier) && Double.isFinite(deadline);
    }

    /** Returns the virtual deadline (virtual time + 1) / weight, with the weight raised by zone and cache affinity. */
    private static double deadline(EndpointRecord endpoint, PendingRequest request) {
        double zoneFactor = endpoint.isInProxyZone() ? SAME_ZONE_WEIGHT_FACTOR : 1;
        double cacheFactor = endpoint == request.affinityEndpoint() ? CACHE_AFFINITY_WEIGHT_FACTOR : 1;
        return (endpoint.virtualTime() + 1) / (endpoint.weight() * zoneFactor * cacheFactor);
    }

    /**
     * Returns whether an endpoint has fewer attempts in flight than its weight's share of all. Virtual time only counts
     * started attempts, so without this limit they would pile up at an endpoint that does not respond.
     */
    private boolean isBelowFairShare(EndpointRecord endpoint) {
        double fairShare = Math.ceil(endpoint.weight() * (limiter.attemptsInFlight() + 1));
        return endpoint.health().attemptsInFlight() < Math.max(1, fairShare);
    }

    /**
     * Returns whether an endpoint in a given condition may be used. Unhealthy endpoints are used only above {@link
     * #PANIC_THRESHOLD}. Failing endpoints count separately: if only some of the unhealthy endpoints are failing and
     * the others are suspect, the failing ones are not used.
     */
    private static boolean isAcceptable(
            EndpointHealth.Condition condition, int permittedCount, int unhealthyCount, int failingCount) {
        return switch (condition) {
            case HEALTHY -> true;
            case SUSPECT -> unhealthyCount > PANIC_THRESHOLD * permittedCount;
            case FAILING -> failingCount > PANIC_THRESHOLD * permittedCount;
        };
    }
}
