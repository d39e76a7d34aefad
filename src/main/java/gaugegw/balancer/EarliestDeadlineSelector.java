package gaugegw.balancer;

/**
 * Selects the endpoint of an attempt: of the eligible ones that of the best {@link PreferenceTier}, then of the earliest deadline
 * (virtual time + 1) / weight, then the first listed. An endpoint is eligible if a repeat there is harmless, and if it
 * is in this proxy's subset, below its share of the attempts in flight and within its slow-start budget.
 */
final class EarliestDeadlineSelector {
    /** An endpoint in the proxy's own zone counts as this many times its weight. */
    private static final double SAME_ZONE_PREFERENCE = 4;
    /** The endpoint that likely has the request's key cached counts as this many times its weight. */
    private static final double CACHED_KEY_PREFERENCE = 4;
    /** So many proxies share an endpoint, if there are as many. */
    private static final double PROXIES_PER_ENDPOINT = 3;
    /** Above this share of unhealthy endpoints it is this proxy that is cut off, or the load: health is ignored. */
    private static final double PANIC_THRESHOLD = 0.75;
    /** An endpoint slower than this multiple of its kind's mean latency does not do a subset member's part. */
    private static final double SLOW_MULTIPLE = 4;

    private final int proxyCount;
    private final EndpointMembership membership;
    private final DuplicateExecutionGuard duplicateGuard;
    private final SlowStartBudget slowStart;
    private final LoadMeasurement load;
    private final ConcurrencyLimiter limiter;

    /**
     * Creates a selector that keeps no state of its own.
     *
     * @param proxyCount the number of proxies that share the endpoints, this one included
     */
    EarliestDeadlineSelector(
            int proxyCount,
            EndpointMembership membership,
            DuplicateExecutionGuard duplicateGuard,
            SlowStartBudget slowStart,
            LoadMeasurement load,
            ConcurrencyLimiter limiter) {
        this.proxyCount = proxyCount;
        this.membership = membership;
        this.duplicateGuard = duplicateGuard;
        this.slowStart = slowStart;
        this.load = load;
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
        double subsetRemaining = subsetSize(nowUs);
        for (EndpointRecord endpoint : membership.ready()) {
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
            subsetRemaining -= healthy && fillsSubset(endpoint, warmingUp) ? 1 : 0;
        }
        return isAcceptable(bestCondition, permitted, unhealthy, failing) ? best : null;
    }

    private static boolean precedes(
            PreferenceTier tier, double deadline, PreferenceTier otherTier, double otherDeadline) {
        if (tier == otherTier) {
            return deadline < otherDeadline;
        }
        // Without a positive weight, or with one that is not a number, an endpoint has no deadline.
        return tier.isPreferredTo(otherTier) && Double.isFinite(deadline);
    }

    private static double deadline(EndpointRecord endpoint, PendingRequest request) {
        double zonePreference = endpoint.isInProxyZone() ? SAME_ZONE_PREFERENCE : 1;
        double cachePreference = endpoint == request.affinityEndpoint() ? CACHED_KEY_PREFERENCE : 1;
        return (endpoint.virtualTime() + 1) / (endpoint.weight() * zonePreference * cachePreference);
    }

    /** Returns how many healthy endpoints this proxy uses: its part, or more if it is far busier than others. */
    private double subsetSize(long nowUs) {
        double evenPart = PROXIES_PER_ENDPOINT * membership.ready().size() / proxyCount;
        return Math.max(evenPart, load.answersPerUs(nowUs) * load.unloadedLatencyUs());
    }

    private boolean fillsSubset(EndpointRecord endpoint, boolean warmingUp) {
        LatencyAverage kind = endpoint.latency().kind();
        boolean slow = kind.samples() > 0 && !(endpoint.latency().expectedUs() < SLOW_MULTIPLE * kind.meanUs());
        return proxyCount > PROXIES_PER_ENDPOINT && !slow && !warmingUp;
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
