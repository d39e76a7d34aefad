package gaugegw.balancer.testing;

import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import java.util.stream.IntStream;

/** Creates endpoints that differ from the defaults of {@link EndpointBuilder} in one or two properties. */
public final class TestEndpoints {
    private TestEndpoints() {}

    public static EndpointBuilder endpointBuilder(String id) {
        return new EndpointBuilder(id);
    }

    public static Endpoint endpoint(String id) {
        return endpointBuilder(id).build();
    }

    public static Endpoint endpointOfKind(String id, String kind) {
        return endpointBuilder(id).kind(kind).build();
    }

    public static Endpoint endpointIn(String id, String zone, int cell) {
        return endpointBuilder(id).zone(zone).cell(cell).build();
    }

    public static Endpoint endpointInState(String id, EndpointState state) {
        return endpointBuilder(id).state(state).build();
    }

    public static Endpoint endpointStartedAt(String id, long startedAtUs) {
        return endpointBuilder(id).startedAtUs(startedAtUs).build();
    }

    /**
     * Returns the given number of endpoints that differ only in their ids, which are the prefix and a number from 0.
     */
    public static Endpoint[] endpoints(int count, String prefix) {
        return IntStream.range(0, count).mapToObj(i -> endpoint(prefix + i)).toArray(Endpoint[]::new);
    }
}
