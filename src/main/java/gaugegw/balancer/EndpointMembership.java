package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.UpdateKind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The endpoint list as this proxy knows it. Owns the records of the endpoints that are listed and not gone. */
final class EndpointMembership {
    /** For rounding, where a proxy's start falls on the boundary between two endpoints. */
    private static final double BOUNDARY_TOLERANCE = 1e-9;

    private final BalancerSettings settings;
    private final int flowCount;
    private final ControlPeriods periods;
    private final Map<String, EndpointRecord> byId = new HashMap<>();
    private final Map<String, LatencyAverage> kinds = new HashMap<>();
    private final List<EndpointRecord> ready = new ArrayList<>();

    EndpointMembership(BalancerSettings settings, int flowCount, ControlPeriods periods) {
        this.settings = settings;
        this.flowCount = flowCount;
        this.periods = periods;
    }

    /** Returns the endpoints that may receive attempts, in this proxy's order; a live list, not to be changed. */
    List<EndpointRecord> ready() {
        return ready;
    }

    int size() {
        return byId.size();
    }

    /**
     * Puts the endpoints in this proxy's order, which decides between equal deadlines and on the proxy's subset. As many
     * proxies as there are endpoints start evenly along one list, by weight, and the next as many along another: no two
     * proxies prefer the same endpoint and then the same next one.
     */
    void sort() {
        int lists = Math.max(1, settings.proxyCount() / Math.max(1, ready.size()));
        int shuffle = HashMixer.mix(settings.proxyIndex() % lists);
        ready.sort(Comparator.comparingInt(e -> HashMixer.mix(e.id().hashCode() ^ shuffle)));
        int place = settings.proxyIndex() / lists;
        double remaining = place * (double) lists / settings.proxyCount();
        int first = 0;
        while (first < ready.size() - 1 && remaining > ready.get(first).weight() - BOUNDARY_TOLERANCE) {
            remaining -= ready.get(first).weight();
            first++;
        }
        Collections.rotate(ready, -first);
    }

    /** Applies a list update; an endpoint missing from a complete list is gone. The weights are then out of date. */
    void apply(EndpointUpdate update, long nowUs, Consumer<Action> actions) {
        boolean complete = update.kind() != UpdateKind.DELTA;
        List<EndpointRecord> before = List.copyOf(ready);
        if (complete) {
            ready.forEach(EndpointRecord::markNotReady);
            ready.clear();
        }
        update.endpoints().forEach(entry -> apply(entry, nowUs));
        before.forEach(endpoint -> closeIdleUnlessReady(endpoint, actions));
        if (complete) {
            byId.values().retainAll(ready);
        }
    }

    private void apply(Endpoint entry, long nowUs) {
        EndpointRecord endpoint = byId.get(entry.id());
        if (endpoint != null && entry.startedAtUs() != endpoint.listed().startedAtUs()) {
            endpoint.markNotReady();
            ready.remove(endpoint);
            endpoint = null;
        }
        if (endpoint == null) {
            var allowance = new SlowStartAllowance(entry, settings.proxyIndex(), nowUs);
            endpoint = new EndpointRecord(entry, new EndpointHealth(flowCount, periods), allowance);
            byId.put(endpoint.id(), endpoint);
        }
        boolean inProxyZone = settings.zone().equals(entry.zone());
        LatencyAverage kind = kinds.computeIfAbsent(String.valueOf(entry.kind()), name -> new LatencyAverage());
        endpoint.update(entry, inProxyZone, kind);
        ready.remove(endpoint);
        if (endpoint.isReady()) {
            ready.add(endpoint);
        }
        if (entry.state() == EndpointState.GONE) {
            byId.remove(endpoint.id());
        }
    }

    /** Closes the idle connections to an endpoint that drains or is gone: no further attempt will use them. */
    void closeIdleUnlessReady(EndpointRecord endpoint, Consumer<Action> actions) {
        if (!endpoint.isReady()) {
            actions.accept(new Action.CloseIdleConnections(endpoint.id()));
        }
    }
}
