package gaugegw.balancer;

/**
 * The subset of the endpoints that this proxy uses. Where many proxies share few endpoints, a proxy has too few
 * attempts to notice a fault or to keep the deadline order at all of them; with a subset each it has more attempts at
 * fewer endpoints. The subset is the first healthy ones of the proxy's order, see {@link ProxyEndpointOrder}, so that
 * each endpoint is in the subsets of about as many proxies. It only limits the healthy endpoints: an unhealthy one
 * takes no place, and the next one of the order moves up.
 */
final class EndpointSubset {
    /** So many proxies share an endpoint, if there are as many. */
    private static final double PROXIES_PER_ENDPOINT = 3;
    /** An endpoint slower than this multiple of its kind's mean latency does not do a subset member's part. */
    private static final double SLOW_MULTIPLE = 4;

    private final int proxyCount;
    private final EndpointMembership membership;
    private final LoadStatistics load;

    /**
     * Creates a subset that keeps no state of its own.
     *
     * @param proxyCount the number of proxies that share the endpoints, this one included
     */
    EndpointSubset(int proxyCount, EndpointMembership membership, LoadStatistics load) {
        this.proxyCount = proxyCount;
        this.membership = membership;
        this.load = load;
    }

    /** Returns the number of members: this proxy's even part, or more if it is far busier than others. */
    double size(long nowUs) {
        double evenPart = PROXIES_PER_ENDPOINT * membership.readyEndpoints().size() / proxyCount;
        double busyEndpoints = load.responsesPerUs(nowUs) * load.unloadedLatencyUs();
        return Math.max(evenPart, busyEndpoints);
    }

    /** Returns whether a healthy endpoint takes a place: not a slow one, nor one that warms up, as both do less. */
    boolean takesPlace(EndpointRecord endpoint, boolean warmingUp) {
        LatencyAverage kind = endpoint.latency().kind();
        boolean slow = kind.samples() > 0 && !(endpoint.latency().expectedUs() < SLOW_MULTIPLE * kind.meanUs());
        return proxyCount > PROXIES_PER_ENDPOINT && !slow && !warmingUp;
    }
}
