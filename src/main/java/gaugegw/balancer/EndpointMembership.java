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
 * The endpoint list as this proxy knows it. Applies list updates, and owns the records of the endpoints that are listed
 * and not gone.
 */
final class EndpointMembership {
    private final BalancerSettings settings;
    private final int flowCount;
    private final ControlParameters parameters;
    private final ProxyEndpointOrder order;
    private final Map<String, EndpointRecord> byId = new HashMap<>();
    private final Map<String, LatencyAverage> kinds = new HashMap<>();
    private final List<EndpointRecord> readyEndpoints = new ArrayList<>();

    EndpointMembership(BalancerSettings settings, int flowCount, ControlParameters parameters) {
        this.settings = settings;
        this.flowCount = flowCount;
        this.parameters = parameters;
        this.order = new ProxyEndpointOrder(settings.proxyCount(), settings.proxyIndex());
    }

    /** Returns the number of endpoints remembered. */
    int size() {
        return byId.size();
    }

    /** Returns the endpoints that may receive attempts, in this proxy's order; a live list, not to be changed. */
    List<EndpointRecord> readyEndpoints() {
        return readyEndpoints;
    }

    /** Puts the ready endpoints in this proxy's order, which depends on their weights. */
    void sort() {
        order.sort(readyEndpoints);
    }

    /** Applies a list update; an endpoint missing from a complete list is gone. The weights are then out of date. */
    void apply(EndpointUpdate update, long nowUs, Consumer<Action> actions) {
        boolean complete = update.kind() != UpdateKind.DELTA;
        List<EndpointRecord> before = List.copyOf(readyEndpoints);
        if (complete) {
            readyEndpoints.forEach(EndpointRecord::markNotReady);
            readyEndpoints.clear();
        }
        update.endpoints().forEach(entry -> apply(entry, nowUs));
        before.forEach(endpoint -> closeIdleConnectionsUnlessReady(endpoint, actions));
        if (complete) {
            byId.values().retainAll(readyEndpoints);
        }
    }

    private void apply(Endpoint entry, long nowUs) {
        EndpointRecord endpoint = byId.get(entry.id());
        if (endpoint != null && entry.startedAtUs() != endpoint.listEntry().startedAtUs()) {
            endpoint.markNotReady();
            readyEndpoints.remove(endpoint);
            endpoint = null;
        }
        if (endpoint == null) {
            var allowance = new SlowStartTokenBucket(entry, settings.proxyIndex(), nowUs);
            endpoint = new EndpointRecord(entry, new EndpointHealth(flowCount, parameters), allowance);
            byId.put(endpoint.id(), endpoint);
        }
        boolean inProxyZone = settings.zone().equals(entry.zone());
        LatencyAverage kind = kinds.computeIfAbsent(String.valueOf(entry.kind()), name -> new LatencyAverage());
        endpoint.update(entry, inProxyZone, kind);
        readyEndpoints.remove(endpoint);
        if (endpoint.isReady()) {
            readyEndpoints.add(endpoint);
        }
        if (entry.state() == EndpointState.GONE) {
            byId.remove(endpoint.id());
        }
    }

    /** Closes the idle connections to an endpoint that drains or is gone: no further attempt will use them. */
    void closeIdleConnectionsUnlessReady(EndpointRecord endpoint, Consumer<Action> actions) {
        if (!endpoint.isReady()) {
            actions.accept(new Action.CloseIdleConnections(endpoint.id()));
        }
    }
}
