package gaugegw.balancer;

/**
 * The subset of the endpoints that this proxy uses. Where many proxies share few endpoints, each proxy sends too few
 * attempts to any one endpoint to notice a fault there or to balance by deadline. With a subset, it sends more attempts
 * to fewer endpoints.
 *
 * <p>The subset consists of the first healthy endpoints in this proxy's {@link ProxyEndpointOrder}, so that every
 * endpoint is in the subsets of about equally many proxies. It restricts healthy endpoints only: an unhealthy endpoint
 * does not count toward its size, and the next one in the order joins instead.
 */
final class EndpointSubset {
    /** Number of proxies that share an endpoint, if there are that many. */
    private static final double PROXIES_PER_ENDPOINT = 3;
    /** An endpoint slower than this multiple of its kind's mean latency carries too little load to count. */
    private static final double SLOW_LATENCY_MULTIPLE = 4;

    private final int proxyCount;
    private final EndpointMembership membership;
    private final LoadStatistics load;

    /**
     * Creates a subset, which is computed from the membership and the load at each use.
     *
     * @param proxyCount the number of proxies that share the endpoints, including this one
     */
    EndpointSubset(int proxyCount, EndpointMembership membership, LoadStatistics load) {
        this.proxyCount = proxyCount;
        this.membership = membership;
        this.load = load;
    }

    /**
     * Returns the size of the subset: this proxy's even share of the endpoints, or more if its load needs more. The
     * load is the mean number of its attempts in progress without queueing, by Little's law.
     */
    double size(long nowUs) {
        double evenShare = PROXIES_PER_ENDPOINT * membership.readyEndpoints().size() / proxyCount;
        double busyEndpoints = load.responsesPerUs(nowUs) * load.unloadedLatencyUs();
        return Math.max(evenShare, busyEndpoints);
    }

    /**
     * Returns whether a healthy endpoint counts toward the size of the subset. A slow endpoint, or one in slow start,
     * does not, because it carries less than a full share of the load. With few proxies no endpoint counts, so that
     * each proxy uses all endpoints.
     */
    boolean countsTowardSize(EndpointRecord endpoint, boolean warmingUp) {
        LatencyAverage kindAverage = endpoint.latency().kindAverage();
        boolean slow = kindAverage.sampleCount() > 0
                && !(endpoint.latency().expectedUs() < SLOW_LATENCY_MULTIPLE * kindAverage.meanUs());
        return proxyCount > PROXIES_PER_ENDPOINT && !slow && !warmingUp;
    }
}
