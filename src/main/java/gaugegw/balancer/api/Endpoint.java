package gaugegw.balancer.api;

/**
 * An entry of the endpoint list.
 *
 * @param id the endpoint's name, the same for every proxy and after a restart of its process
 * @param state whether it may receive attempts
 * @param kind the kind of machine; null counts as a kind of its own
 * @param zone the zone it runs in, or null
 * @param cell number of its cell, see {@link DeduplicationScope#CELL}
 * @param startedAtUs when its process last started, on the proxy's clock in microseconds; 0 if long ago
 * @param weight its size, without a unit, for comparison with other endpoints
 */
public record Endpoint(
        String id, EndpointState state, String kind, String zone, int cell, long startedAtUs, double weight) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if one makes no sense; the message names the setting
     */
    public Endpoint {
        BalancerSettings.require(id != null && !id.isEmpty(), "backend id");
        BalancerSettings.require(state != null, "state of backend " + id);
    }
}
