package gaugegw.balancer;

/**
 * Selects the endpoint of an attempt: of the eligible ones that of the best {@link PreferenceTier}, then of the
 * earliest deadline (virtual time + 1) / weight, then the first listed. An endpoint is eligible if a repeat there is
 * harmless, and if it is in this proxy's {@link EndpointSubset}, below its share of the attempts in flight and within
 * its {@link SlowStartBudget}.
 *
 * <p>This deadline is a point of an endpoint's virtual time, in attempts over weight: it has nothing to do with the
 * deadline of a request.
 */
final class EarliestDeadlineSelector {
    /** An endpoint in the proxy's own zone counts as this many times its weight. */
    private static final double SAME_ZONE_PREFERENCE = 4;
    /** The endpoint that likely has the request's key cached counts as this many times its weight. */
    private static final double CACHED_KEY_PREFERENCE = 4;
    /** Above this share of unhealthy endpoints it is this proxy that is cut off, or the load: health is ignored. */
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

    /** Returns the endpoint for the next attempt of a request, or null if there is none now. */
    EndpointRecord select(PendingRequest request, long nowUs) {
        EndpointRecord best = null;
        EndpointHealth.Condition bestCondition = EndpointHealth.Condition.FAILING;
        PreferenceTier bestTier = PreferenceTier.FAILING_ALREADY_TRIED;
        double earliest = Double.POSITIVE_INFINITY;
        int permitted = 0;
        int unhealthy = 0;
        int failing = 0;
        double subsetRemaining = subset.size(nowUs);
        for (EndpointRecord endpoint : membership.readyEndpoints()) {
            if (!duplicateGuard.permitsAttempt(request, endpoint, nowUs)) {
                continue;
            }
            EndpointHealth.Condition condition = endpoint.condition(request.flow(), nowUs);
            boolean healthy = condition == EndpointHealth.Condition.HEALTHY;
            permitted++;
            unhealthy += healthy ? 0 : 1;
            failing += condition == EndpointHealth.Condition.FAILING ? 1 : 0;
            boolean warmingUp = slowStart.isWarmingUp(endpoint, nowUs);
            // An endpoint that warms up is in too few subsets to get what all proxies together may send it.
            boolean inSubset = !healthy || subsetRemaining > 0 || warmingUp;
            PreferenceTier tier = PreferenceTier.of(condition, request.hasTried(endpoint));
            double deadline = deadline(endpoint, request);
            if (inSubset
                    && precedes(tier, deadline, bestTier, earliest)
                    && isBelowFairShare(endpoint)
                    && slowStart.mayStartAttempt(endpoint, nowUs)) {
                best = endpoint;
                bestCondition = condition;
                bestTier = tier;
                earliest = deadline;
            }
            subsetRemaining -= healthy && subset.takesPlace(endpoint, warmingUp) ? 1 : 0;
        }
        return isAcceptable(bestCondition, permitted, unhealthy, failing) ? best : null;
    }

    /** Returns whether an endpoint is preferred to the best so far: by its tier, then by its deadline. */
    private static boolean precedes(PreferenceTier tier, double deadline, PreferenceTier bestTier, double earliest) {
        if (tier == bestTier) {
            return deadline < earliest;
        }
        // Without a positive weight, or with one that is not a number, an endpoint has no deadline.
        return tier.isPreferredTo(bestTier) && Double.isFinite(deadline);
    }

    /** Returns (virtual time + 1) / weight, without a unit: the virtual time by which the next attempt is due. */
    private static double deadline(EndpointRecord endpoint, PendingRequest request) {
        double zonePreference = endpoint.isInProxyZone() ? SAME_ZONE_PREFERENCE : 1;
        double cachePreference = endpoint == request.affinityEndpoint() ? CACHED_KEY_PREFERENCE : 1;
        return (endpoint.virtualTime() + 1) / (endpoint.weight() * zonePreference * cachePreference);
    }

    /** Limits an endpoint to its weight's share of the attempts in flight: virtual time sees starts, but no answers. */
    private boolean isBelowFairShare(EndpointRecord endpoint) {
        double fairShare = Math.ceil(endpoint.weight() * (limiter.attemptsInFlight() + 1));
        return endpoint.health().attemptsInFlight() < Math.max(1, fairShare);
    }

    /** Where some endpoints are silent and the others fail, those that fail get nothing. */
    private static boolean isAcceptable(EndpointHealth.Condition condition, int permitted, int unhealthy, int failing) {
        return switch (condition) {
            case HEALTHY -> true;
            case SUSPECT -> unhealthy > PANIC_THRESHOLD * permitted;
            case FAILING -> failing > PANIC_THRESHOLD * permitted;
        };
    }
}
