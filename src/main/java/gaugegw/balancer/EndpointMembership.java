package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.UpdateKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The endpoints that this proxy knows. Applies updates of the endpoint list and keeps a record of each ready endpoint,
 * and of each draining one until the next complete list.
 */
final class EndpointMembership {
    private final BalancerSettings settings;
    private final int flowCount;
    private final ControlParameters parameters;
    private final ProxyEndpointOrder order;
    private final Map<String, EndpointRecord> byId = new HashMap<>();
    private final Map<String, LatencyAverage> kindAverages = new HashMap<>();
    private final List<EndpointRecord> readyEndpoints = new ArrayList<>();

    EndpointMembership(BalancerSettings settings, int flowCount, ControlParameters parameters) {
        this.settings = settings;
        this.flowCount = flowCount;
        this.parameters = parameters;
        this.order = new ProxyEndpointOrder(settings.proxyCount(), settings.proxyIndex());
    }

    /** Returns the number of endpoint records kept. */
    int size() {
        return byId.size();
    }

    /** Returns the endpoints that may receive attempts, in this proxy's order. The list is live; do not modify it. */
    List<EndpointRecord> readyEndpoints() {
        return readyEndpoints;
    }

    /** Sorts the ready endpoints into this proxy's order, which depends on their weights. */
    void sort() {
        order.sort(readyEndpoints);
    }

    /**
     * Applies an update of the endpoint list. Endpoints missing from a complete list are removed. The caller must then
     * refresh the weights, which also sorts the endpoints.
     */
    void apply(EndpointUpdate update, long nowUs, Consumer<Action> actions) {
        boolean complete = update.kind() != UpdateKind.DELTA;
        List<EndpointRecord> previouslyReady = List.copyOf(readyEndpoints);
        if (complete) {
            readyEndpoints.forEach(EndpointRecord::markNotReady);
            readyEndpoints.clear();
        }
        update.endpoints().forEach(entry -> apply(entry, nowUs));
        previouslyReady.forEach(endpoint -> closeIdleConnectionsUnlessReady(endpoint, actions));
        if (complete) {
            byId.values().retainAll(readyEndpoints);
        }
    }

    private void apply(Endpoint entry, long nowUs) {
        EndpointRecord endpoint = byId.get(entry.id());
        // A different start time means that the process has restarted, so its old record no longer applies.
        if (endpoint != null && entry.startedAtUs() != endpoint.listEntry().startedAtUs()) {
            endpoint.markNotReady();
            readyEndpoints.remove(endpoint);
            endpoint = null;
        }
        if (endpoint == null) {
            var tokens = new SlowStartTokenBucket(entry, settings.proxyIndex(), nowUs);
            endpoint = new EndpointRecord(entry, new EndpointHealth(flowCount, parameters), tokens);
            byId.put(endpoint.id(), endpoint);
        }
        boolean inProxyZone = settings.zone().equals(entry.zone());
        LatencyAverage kindAverage =
                kindAverages.computeIfAbsent(String.valueOf(entry.kind()), name -> new LatencyAverage());
        endpoint.update(entry, inProxyZone, kindAverage);
        readyEndpoints.remove(endpoint);
        if (endpoint.isReady()) {
            readyEndpoints.add(endpoint);
        }
        if (entry.state() == EndpointState.GONE) {
            byId.remove(endpoint.id());
        }
    }

    /** Closes the idle connections to an endpoint that is no longer ready, as no further attempt will use them. */
    void closeIdleConnectionsUnlessReady(EndpointRecord endpoint, Consumer<Action> actions) {
        if (!endpoint.isReady()) {
            actions.accept(new Action.CloseIdleConnections(endpoint.id()));
        }
    }
}
