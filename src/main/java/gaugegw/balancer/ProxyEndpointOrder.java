package gaugegw.balancer;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which one proxy lists the endpoints. The order decides between equal deadlines, and which endpoints are
 * in the proxy's subset. If all proxies used the same one, all would open on the same endpoint. Therefore as many
 * proxies as there are endpoints start at evenly spaced positions, by weight, along one shuffled list, and the next as
 * many along another: no two proxies prefer the same endpoint and then the same next one.
 */
final class ProxyEndpointOrder {
    /** For rounding, where a proxy's start falls on the boundary between two endpoints. */
    private static final double BOUNDARY_TOLERANCE = 1e-9;

    private final int proxyCount;
    private final int proxyIndex;

    /**
     * Creates the order of a proxy.
     *
     * @param proxyCount the number of proxies that share the endpoints, this one included
     * @param proxyIndex the number of this proxy, from 0
     */
    ProxyEndpointOrder(int proxyCount, int proxyIndex) {
        this.proxyCount = proxyCount;
        this.proxyIndex = proxyIndex;
    }

    /** Puts endpoints in this proxy's order. The order depends on ids and weights, not on the previous order. */
    void sort(List<EndpointRecord> endpoints) {
        int lists = Math.max(1, proxyCount / Math.max(1, endpoints.size()));
        int shuffle = HashMixer.mix(proxyIndex % lists);
        endpoints.sort(
                Comparator.comparingInt(endpoint -> HashMixer.mix(endpoint.id().hashCode() ^ shuffle)));
        int place = proxyIndex / lists;
        double startWeight = place * (double) lists / proxyCount;
        Collections.rotate(endpoints, -positionAt(startWeight, endpoints));
    }

    /** Returns the position of the endpoint at which the weights of those before it add up to a start weight. */
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
