package gaugegw.balancer;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * The order of the endpoints in one proxy. It decides between equal deadlines, and which endpoints are in the proxy's
 * {@link EndpointSubset}. With the same order everywhere, all proxies would start with the same endpoint.
 *
 * <p>The proxies are therefore divided into groups of about as many proxies as there are endpoints, or form one group
 * if they are fewer. The proxies of one group use the same shuffled order and start at evenly spaced positions in it,
 * by weight. Each group has its own shuffled order, so that proxies with the same first endpoint differ in the next
 * one.
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

    /** Sorts endpoints into this proxy's order, which depends on their ids and weights but not on their old order. */
    void sort(List<EndpointRecord> endpoints) {
        int groupCount = Math.max(1, proxyCount / Math.max(1, endpoints.size()));
        int shuffleSeed = HashMixer.mix(proxyIndex % groupCount);
        endpoints.sort(
                Comparator.comparingInt(endpoint -> HashMixer.mix(endpoint.id().hashCode() ^ shuffleSeed)));
        int indexInGroup = proxyIndex / groupCount;
        double startWeight = indexInGroup * (double) groupCount / proxyCount;
        Collections.rotate(endpoints, -positionAt(startWeight, endpoints));
    }

    /** Returns the position of the endpoint at which the cumulative weight reaches a start weight from 0 to 1. */
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
