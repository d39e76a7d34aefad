package gaugegw.balancer;

/**
 * Selects the endpoint of an attempt: of the eligible ones that of the best {@link Tier}, then of the earliest deadline
 * (virtual time + 1) / weight, then the first listed. An endpoint is eligible if a repeat there is harmless, and if it
 * is in this proxy's subset, below its share of the attempts in flight and within its slow-start budget.
 */
record EarliestDeadlineSelector(
        int proxyCount,
        EndpointMembership membership,
        DuplicateExecutionGuard duplicateGuard,
        SlowStartBudget slowStart,
        LoadMeasurement load,
        ConcurrencyLimiter limiter) {
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
    /** Puts an endpoint that the request has tried behind the others of its tier. */
    private static final double ALREADY_TRIED_PENALTY = 1e6;

    /** The order of preference. The penalties multiply the deadline, and lie so far apart that the order holds. */
    private enum Tier {
        HEALTHY(1),
        /** Gone silent, or probed by another attempt; once tried, on a par with a failing endpoint not tried. */
        SUSPECT(1e18),
        /** In backoff. */
        FAILING(1e24);

        private final double penalty;

        Tier(double penalty) {
            this.penalty = penalty;
        }
    }

    /** Returns the endpoint for the next attempt of a request, or null if there is none now. */
    EndpointRecord select(PendingRequest request, long nowUs) {
        EndpointRecord best = null;
        Tier bestTier = Tier.HEALTHY;
        double earliest = Double.POSITIVE_INFINITY;
        int permitted = 0;
        int unhealthy = 0;
        int failing = 0;
        double subsetRemaining = subsetSize(nowUs);
        for (EndpointRecord endpoint : membership.ready()) {
            if (!duplicateGuard.permitsAttempt(request, endpoint, nowUs)) {
                continue;
            }
            Tier tier = tier(endpoint, request.flow, nowUs);
            permitted += 1;
            unhealthy += tier == Tier.HEALTHY ? 0 : 1;
            failing += tier == Tier.FAILING ? 1 : 0;
            boolean warmingUp = slowStart.isWarmingUp(endpoint, nowUs);
            // An endpoint that warms up is in too few subsets to get what all proxies together may send it.
            boolean inSubset = tier != Tier.HEALTHY || subsetRemaining > 0 || warmingUp;
            double deadline = deadline(endpoint, request, tier);
            if (inSubset
                    && deadline < earliest
                    && isBelowFairShare(endpoint)
                    && slowStart.mayStartAttempt(endpoint, nowUs)) {
                best = endpoint;
                bestTier = tier;
                earliest = deadline;
            }
            subsetRemaining -= fillsSubset(endpoint, tier, warmingUp) ? 1 : 0;
        }
        return isAcceptable(bestTier, permitted, unhealthy, failing) ? best : null;
    }

    private static Tier tier(EndpointRecord endpoint, int flow, long nowUs) {
        if (endpoint.health.isHealthy(flow, endpoint.latency.kind.meanUs(), nowUs)) {
            return Tier.HEALTHY;
        }
        return endpoint.health.isBackingOff(flow, nowUs) ? Tier.FAILING : Tier.SUSPECT;
    }

    private static double deadline(EndpointRecord endpoint, PendingRequest request, Tier tier) {
        double zonePreference = endpoint.inProxyZone ? SAME_ZONE_PREFERENCE : 1;
        double cachePreference = endpoint == request.affinityEndpoint ? CACHED_KEY_PREFERENCE : 1;
        double deadline = (endpoint.virtualTime + 1) / (endpoint.weight * zonePreference * cachePreference);
        return deadline * (request.hasTried(endpoint) ? ALREADY_TRIED_PENALTY : 1) * tier.penalty;
    }

    /** Returns how many healthy endpoints this proxy uses: its part, or more if it is far busier than others. */
    private double subsetSize(long nowUs) {
        double evenPart = PROXIES_PER_ENDPOINT * membership.ready().size() / proxyCount;
        return Math.max(evenPart, load.answersPerUs(nowUs) * load.unloadedLatencyUs());
    }

    private boolean fillsSubset(EndpointRecord endpoint, Tier tier, boolean warmingUp) {
        LatencyAverage kind = endpoint.latency.kind;
        boolean slow = kind.samples() > 0 && !(endpoint.latency.expectedUs() < SLOW_MULTIPLE * kind.meanUs());
        return proxyCount > PROXIES_PER_ENDPOINT && tier == Tier.HEALTHY && !slow && !warmingUp;
    }

    /** Limits an endpoint to its weight's share of the attempts in flight: virtual time sees starts, but no answers. */
    private boolean isBelowFairShare(EndpointRecord endpoint) {
        double fairShare = Math.ceil(endpoint.weight * (limiter.attemptsInFlight() + 1));
        return endpoint.health.attemptsInFlight() < Math.max(1, fairShare);
    }

    /** Where some endpoints are silent and the others fail, those that fail get nothing. */
    private static boolean isAcceptable(Tier tier, int permitted, int unhealthy, int failing) {
        return switch (tier) {
            case HEALTHY -> true;
            case SUSPECT -> unhealthy > PANIC_THRESHOLD * permitted;
            case FAILING -> failing > PANIC_THRESHOLD * permitted;
        };
    }
}
