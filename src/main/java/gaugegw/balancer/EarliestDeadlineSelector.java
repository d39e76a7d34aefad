package gaugegw.balancer;

/**
 * Selects the endpoint for an attempt. Eligible endpoints are compared by {@link PreferenceTier}, then by deadline
 * (earliest first), then by position in this proxy's {@link ProxyEndpointOrder}. A ready endpoint is eligible if:
 *
 * <ul>
 *   <li>{@link DuplicateExecutionGuard} permits the attempt there,
 *   <li>it is in this proxy's {@link EndpointSubset}, or is unhealthy or in slow start,
 *   <li>it has fewer attempts in flight than its fair share, and
 *   <li>its {@link SlowStartBudget} permits another attempt.
 * </ul>
 *
 * <p>If the best eligible endpoint is unhealthy, it is used only if most endpoints are unhealthy, see {@link
 * #PANIC_THRESHOLD}. Otherwise no endpoint is selected and the request waits.
 *
 * <p>The deadline of an endpoint is (virtual time + 1) / weight, as in weighted fair queueing. The virtual time is the
 * number of attempts started there since the last refresh of the weights. This deadline has no unit and is unrelated to
 * the deadline of a request.
 */
final class EarliestDeadlineSelector {
    /** Multiplies the weight of an endpoint in the proxy's own zone. */
    private static final double SAME_ZONE_WEIGHT_FACTOR = 4;
    /** Multiplies the weight of the endpoint that probably has the request's key in its cache. */
    private static final double CACHE_AFFINITY_WEIGHT_FACTOR = 4;
    /**
     * Fraction of unhealthy endpoints, among those that {@link DuplicateExecutionGuard} permits, above which unhealthy
     * endpoints may receive attempts. Above it, the likely cause is this proxy's own network or a general
     * overload, not the endpoints.
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
            boolean inSlowStart = slowStart.isInSlowStart(endpoint, nowUs);
            // Every proxy may use an endpoint in slow start. Each proxy is limited to its share of the slow start
            // budget, so if only the proxies with the endpoint in their subset used it, most of the budget would be
            // unused.
            boolean permittedBySubset = !healthy || remainingSubsetSize > 0 || inSlowStart;
            PreferenceTier tier = PreferenceTier.of(condition, request.hasTried(endpoint));
            double deadline = deadline(endpoint, request);
            if (permittedBySubset
                    && isPreferred(tier, deadline, bestTier, bestDeadline)
                    && isBelowFairShare(endpoint)
                    && slowStart.permitsAttempt(endpoint, nowUs)) {
                best = endpoint;
                bestCondition = condition;
                bestTier = tier;
                bestDeadline = deadline;
            }
            remainingSubsetSize -= healthy && subset.countsTowardSize(endpoint, inSlowStart) ? 1 : 0;
        }
        return isAcceptable(bestCondition, permittedCount, unhealthyCount, failingCount) ? best : null;
    }

    /** Returns whether an endpoint is preferred to the best one found so far: by tier, then by deadline. */
    private static boolean isPreferred(
            PreferenceTier tier, double deadline, PreferenceTier bestTier, double bestDeadline) {
        if (tier == bestTier) {
            return deadline < bestDeadline;
        }
        // A weight of zero or NaN yields no finite deadline; such an endpoint is never selected.
        return tier.isPreferredTo(bestTier) && Double.isFinite(deadline);
    }

    /** Returns (virtual time + 1) / weight, with the weight multiplied by the factors for zone and cache affinity. */
    private static double deadline(EndpointRecord endpoint, PendingRequest request) {
        double zoneFactor = endpoint.isInProxyZone() ? SAME_ZONE_WEIGHT_FACTOR : 1;
        double cacheFactor = endpoint == request.affinityEndpoint() ? CACHE_AFFINITY_WEIGHT_FACTOR : 1;
        return (endpoint.virtualTime() + 1) / (endpoint.weight() * zoneFactor * cacheFactor);
    }

    /**
     * Returns whether an endpoint has fewer attempts in flight than its fair share: its weight times the number of
     * attempts that this proxy would have in flight with the new one, rounded up, and at least 1. The virtual time
     * counts attempts when they start and not when they end, so without this limit an endpoint that does not respond
     * would accumulate attempts.
     */
    private boolean isBelowFairShare(EndpointRecord endpoint) {
        double fairShare = Math.ceil(endpoint.weight() * (limiter.attemptsInFlight() + 1));
        return endpoint.health().attemptsInFlight() < Math.max(1, fairShare);
    }

    /**
     * Returns whether an endpoint in the given condition may be used. A suspect endpoint may be used if the fraction of
     * unhealthy endpoints, suspect or failing, exceeds {@link #PANIC_THRESHOLD}. A failing endpoint may be used only if
     * the fraction of failing endpoints alone exceeds it.
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
