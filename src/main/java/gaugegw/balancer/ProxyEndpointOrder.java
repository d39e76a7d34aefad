package gaugegw.balancer;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * The order of the endpoints in one proxy. It decides between equal deadlines, and which endpoints are in the proxy's
 * {@link EndpointSubset}. If all proxies had the same order, they would all start with the same endpoint.
 *
 * <p>The proxies are therefore divided into groups, each with about as many proxies as there are endpoints. If there
 * are fewer proxies than endpoints, there is one group. The proxies of a group use the same shuffled order, but each
 * starts at a different point of it; the points are evenly spaced by cumulative weight. Each group has a different
 * shuffled order, so that proxies with the same first endpoint differ in the next one.
 */
final class ProxyEndpointOrder {
    /** Tolerance for rounding errors where a start position falls on the boundary between two endpoints. */
    private static final double BOUNDARY_TOLERANCE = 1e-9;

    private final int proxyCount;
    private final int proxyIndex;

    /**
     * Creates the order of a proxy.
     *
     * @param proxyCount the number of proxies that share the endpoints, including this one
     * @param proxyIndex the index of this proxy, from 0
     */
    ProxyEndpointOrder(int proxyCount, int proxyIndex) {
        this.proxyCount = proxyCount;
        this.proxyIndex = proxyIndex;
    }

    /** Sorts endpoints into this proxy's order. It depends on their ids and weights, not on their previous order. */
    void sort(List<EndpointRecord> endpoints) {
        int groupCount = Math.max(1, proxyCount / Math.max(1, endpoints.size()));
        int shuffleSeed = HashMixer.mix(proxyIndex % groupCount);
        endpoints.sort(
                Comparator.comparingInt(endpoint -> HashMixer.mix(endpoint.id().hashCode() ^ shuffleSeed)));
        int indexInGroup = proxyIndex / groupCount;
        double startWeight = indexInGroup * (double) groupCount / proxyCount;
        Collections.rotate(endpoints, -positionAt(startWeight, endpoints));
    }

    /**
     * Returns the position of the endpoint whose part of the cumulative weight contains the start weight. On the
     * boundary between two endpoints, it is the later one.
     *
     * @param startWeight the cumulative weight at which the order of this proxy starts, from 0 to below 1
     */
    private static int positionAt(double startWeight, List<EndpointRecord> endpoints) {
        double remaining = startWeight;
        int position = 0;
        while (position < endpoints.size() - 1
                && remaining > endpoints.get(position).weight() - BOUNDARY_TOLERANCE) {
            remaining -= endpoints.get(position).weight();
            position++;
        }
        return position;
    }
}
