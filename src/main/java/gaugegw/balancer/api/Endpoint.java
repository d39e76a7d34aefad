package gaugegw.balancer.api;

/** One line of the server list. {@code startedAtUs} is 0 for long ago; {@code weight} only compares backends. */
public record Endpoint(
        String id, EndpointState state, String kind, String zone, int cell, long startedAtUs, double weight) {
    public Endpoint {
        BalancerSettings.require(id != null && !id.isEmpty(), "backend id");
        BalancerSettings.require(state != null, "state of backend " + id);
    }
}
