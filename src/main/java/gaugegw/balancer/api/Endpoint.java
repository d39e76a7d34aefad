package gaugegw.balancer.api;

/**
 * An entry of the endpoint list.
 *
 * @param id identifies the endpoint; the same for every proxy and after a restart of the endpoint's process
 * @param state whether the endpoint may receive attempts
 * @param kind the kind of machine that it runs on; the endpoints without one (null) are treated as one kind
 * @param zone the zone it runs in, or null
 * @param cell the number of its cell, see {@link DeduplicationScope#CELL}
 * @param startedAtUs when its process last started, on the proxy's clock in microseconds; 0 if long ago
 * @param weight its capacity relative to that of other endpoints, without a unit
 */
public record Endpoint(
        String id, EndpointState state, String kind, String zone, int cell, long startedAtUs, double weight) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the id or the state is missing
     */
    public Endpoint {
        BalancerSettings.require(id != null && !id.isEmpty(), "endpoint: id is missing or empty");
        BalancerSettings.require(state != null, "endpoint " + id + ": state is missing");
    }
}
