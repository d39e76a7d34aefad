package gaugegw.balancer;

/**
 * The subset of the endpoints that this proxy uses. Where many proxies share few endpoints, each proxy sends too few
 * attempts to any one endpoint to detect a fault there or to balance by deadline. With a subset, it sends more attempts
 * to fewer endpoints.
 *
 * <p>The subset consists of the first healthy endpoints in this proxy's {@link ProxyEndpointOrder}, so that every
 * endpoint is in the subsets of about equally many proxies. It restricts healthy endpoints only. If one of them
 * becomes unhealthy, it no longer counts toward the size, and the next healthy endpoint in the order is added. {@link
 * EarliestDeadlineSelector} goes through the order and determines which endpoints are in the subset.
 */
final class EndpointSubset {
    /** Number of proxies that should have an endpoint in their subset. With no more proxies, all use all endpoints. */
    private static final double PROXIES_PER_ENDPOINT = 3;
    /**
     * An endpoint whose expected latency is at least this multiple of the mean latency of its kind does not count
     * toward the size of the subset, because its weight is low and it gets little load.
     */
    private static final double SLOW_LATENCY_MULTIPLE = 4;

    private final int proxyCount;
    private final EndpointMembership membership;
    private final LoadStatistics load;

    /**
     * Creates a subset. Its size is computed from the membership and the load at each call.
     *
     * @param proxyCount the number of proxies that share the endpoints, including this one
     */
    EndpointSubset(int proxyCount, EndpointMembership membership, LoadStatistics load) {
        this.proxyCount = proxyCount;
        this.membership = membership;
        this.load = load;
    }

    /**
     * Returns the size of the subset; a fraction is rounded up where it is used. It is the larger of this proxy's even
     * share, {@link #PROXIES_PER_ENDPOINT} * endpoints / proxies, and the number of endpoints that its load keeps busy:
     * by Little's law, the response rate times the unloaded latency, with one attempt at a time per endpoint.
     */
    double size(long nowUs) {
        double evenShare = PROXIES_PER_ENDPOINT * membership.readyEndpoints().size() / proxyCount;
        double busyEndpoints = load.responsesPerUs(nowUs) * load.unloadedLatencyUs();
        return Math.max(evenShare, busyEndpoints);
    }

    /**
     * Returns whether a healthy endpoint counts toward the size of the subset. A slow endpoint, or one in slow start,
     * does not, because it gets less than a full share of the load. With at most {@link #PROXIES_PER_ENDPOINT} proxies
     * no endpoint counts, so that each proxy uses all endpoints.
     */
    boolean countsTowardSize(EndpointRecord endpoint, boolean inSlowStart) {
        LatencyAverage kindAverage = endpoint.latency().kindAverage();
        boolean slow = kindAverage.sampleCount() > 0
                && !(endpoint.latency().expectedUs() < SLOW_LATENCY_MULTIPLE * kindAverage.meanUs());
        return proxyCount > PROXIES_PER_ENDPOINT && !slow && !inSlowStart;
    }
}
