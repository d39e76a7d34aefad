package gaugegw.simulator.workload;

import java.util.List;

/**
 * Sends endpoint lists to the proxies: pushed by the registry, or in answer to polls and watches, some of which fail.
 * Each list that a proxy is sent after a start has a cached copy before it, which may be out of date.
 */
final class DiscoverySimulation {
    private static final String SNAPSHOT = "whole";
    private static final String DELTA = "patch";
    private static final String CACHED = "stale_copy";
    private static final String FAILURE = "broken";

    private final SimulationContext context;
    private final BackendRegistry registry;
    private final List<SimulatedProxy> proxies;
    private EndpointList cachedCopy;

    DiscoverySimulation(SimulationContext context, BackendRegistry registry, List<SimulatedProxy> proxies) {
        this.context = context;
        this.registry = registry;
        this.proxies = proxies;
        this.cachedCopy = registry.snapshot();
    }

    /** Makes the current snapshot the cached copy of proxies that start later. */
    void refreshCachedCopy() {
        cachedCopy = registry.snapshot();
    }

    /** Sends a proxy that has just started its cached copy, and the current snapshot if the registry pushes. */
    void proxyStarted(SimulatedProxy proxy) {
        send(proxy, CACHED, cachedCopy);
        if (context.scenario().pushed()) {
            scheduleBetween(50_000, 300_000, () -> pushSnapshot(proxy));
        }
    }

    /** Notifies each proxy of the changes of the registry, at a time of its own. */
    void announceChanges() {
        for (SimulatedProxy proxy : proxies) {
            boolean complete = context.random().chance(0.15);
            scheduleBetween(20_000, 400_000, () -> {
                if (complete) {
                    pushSnapshot(proxy);
                } else {
                    sendDelta(proxy);
                }
            });
        }
    }

    /** Sends each proxy a list without any backend, and after a short time the current snapshot. */
    void announceEmptyList() {
        for (SimulatedProxy proxy : proxies) {
            if (receivesUpdates(proxy)) {
                send(proxy, SNAPSHOT, registry.emptySnapshot());
                proxy.setRevision(0);
                context.schedule().scheduleAfter(350_000, () -> pushSnapshot(proxy));
            }
        }
    }

    /** Answers a poll: with the current snapshot or a failure. */
    void poll(SimulatedProxy proxy) {
        int incarnation = proxy.incarnation();
        scheduleBetween(2_000, 300_000, () -> answerPoll(proxy, incarnation));
    }

    /** Starts a watch, unless that fails. */
    void startWatch(SimulatedProxy proxy) {
        int incarnation = proxy.incarnation();
        scheduleBetween(2_000, 300_000, () -> answerWatch(proxy, incarnation));
    }

    void stopWatch(SimulatedProxy proxy) {
        proxy.setWatching(false);
    }

    private void answerPoll(SimulatedProxy proxy, int incarnation) {
        if (!proxy.isRunning(incarnation)) {
            return;
        }
        if (context.random().chance(0.35)) {
            sendFailure(proxy);
            return;
        }
        sendCurrentSnapshot(proxy);
    }

    private void answerWatch(SimulatedProxy proxy, int incarnation) {
        if (!proxy.isRunning(incarnation)) {
            return;
        }
        if (context.random().chance(0.35)) {
            sendFailure(proxy);
            return;
        }
        proxy.setWatching(true);
        if (context.random().chance(0.5)) {
            proxy.setRevision(Math.max(0, proxy.revision() - 1));
            sendDelta(proxy);
        } else {
            sendCurrentSnapshot(proxy);
        }
        scheduleBetween(3_000_000, 15_000_000, () -> failWatch(proxy, incarnation));
    }

    private void failWatch(SimulatedProxy proxy, int incarnation) {
        if (!proxy.isRunning(incarnation) || !proxy.isWatching()) {
            return;
        }
        proxy.setWatching(false);
        sendFailure(proxy);
        // A failure does not say which call has failed, so a second one may follow at once.
        if (context.random().chance(0.4)) {
            scheduleBetween(5_000, 90_000, () -> repeatFailure(proxy, incarnation));
        }
    }

    private void repeatFailure(SimulatedProxy proxy, int incarnation) {
        if (proxy.isRunning(incarnation) && !proxy.isWatching()) {
            sendFailure(proxy);
        }
    }

    private boolean receivesUpdates(SimulatedProxy proxy) {
        return proxy.isRunning() && (context.scenario().pushed() || proxy.isWatching());
    }

    private void pushSnapshot(SimulatedProxy proxy) {
        if (receivesUpdates(proxy)) {
            sendCurrentSnapshot(proxy);
        }
    }

    private void sendCurrentSnapshot(SimulatedProxy proxy) {
        proxy.setRevision(registry.revision());
        send(proxy, SNAPSHOT, registry.snapshot());
    }

    private void sendDelta(SimulatedProxy proxy) {
        if (!receivesUpdates(proxy)) {
            return;
        }
        EndpointList delta = registry.deltaSince(proxy.revision());
        proxy.setRevision(registry.revision());
        if (!delta.isEmpty()) {
            send(proxy, DELTA, delta);
        }
    }

    private void send(SimulatedProxy proxy, String form, EndpointList endpoints) {
        context.events().add(endpoints.updateEvent(proxy.id(), form));
    }

    private void sendFailure(SimulatedProxy proxy) {
        context.events().add("update who=" + proxy.id() + " form=" + FAILURE + " revision=" + registry.revision());
    }

    private void scheduleBetween(long minUs, long maxUs, Runnable action) {
        context.schedule().scheduleAfter(context.random().between(minUs, maxUs), action);
    }
}
