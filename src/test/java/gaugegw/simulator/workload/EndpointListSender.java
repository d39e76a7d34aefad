package gaugegw.simulator.workload;

/** Sends endpoint lists and failures of discovery to the proxies, and records which revision each proxy has. */
final class EndpointListSender {
    private static final String SNAPSHOT = "whole";
    private static final String DELTA = "patch";
    private static final String CACHED = "stale_copy";
    private static final String FAILURE = "broken";

    private final SimulationContext context;
    private final BackendRegistry registry;

    EndpointListSender(SimulationContext context, BackendRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Sends a list that the proxy has cached before its start, which may be out of date. */
    void sendCached(SimulatedProxy proxy, EndpointList cachedCopy) {
        send(proxy, CACHED, cachedCopy);
    }

    /** Sends the current snapshot as the answer to a call. */
    void sendSnapshot(SimulatedProxy proxy) {
        proxy.setRevision(registry.revision());
        send(proxy, SNAPSHOT, registry.snapshot());
    }

    /** Sends the current snapshot if the proxy receives updates: these are pushed or it has a watch. */
    void pushSnapshot(SimulatedProxy proxy) {
        if (receivesUpdates(proxy)) {
            sendSnapshot(proxy);
        }
    }

    /** Sends a snapshot without any backend if the proxy receives updates; returns whether it does. */
    boolean pushEmptySnapshot(SimulatedProxy proxy) {
        if (!receivesUpdates(proxy)) {
            return false;
        }
        send(proxy, SNAPSHOT, registry.emptySnapshot());
        proxy.setRevision(0);
        return true;
    }

    /** Sends what has changed since the last list, if anything has and the proxy receives updates. */
    void pushDelta(SimulatedProxy proxy) {
        if (!receivesUpdates(proxy)) {
            return;
        }
        EndpointList delta = registry.deltaSince(proxy.revision());
        proxy.setRevision(registry.revision());
        if (!delta.isEmpty()) {
            send(proxy, DELTA, delta);
        }
    }

    void sendFailure(SimulatedProxy proxy) {
        context.events().add("update who=" + proxy.id() + " form=" + FAILURE + " revision=" + registry.revision());
    }

    private boolean receivesUpdates(SimulatedProxy proxy) {
        return proxy.isRunning() && (context.scenario().pushed() || proxy.isWatching());
    }

    private void send(SimulatedProxy proxy, String form, EndpointList endpoints) {
        context.events().add(endpoints.updateEvent(proxy.id(), form));
    }
}
