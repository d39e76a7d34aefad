package gaugegw.simulator.workload;

import java.util.List;

/**
 * Simulates discovery: announces the changes of the registry, and answers polls and watches, some of which fail. A
 * proxy that starts has a cached copy of some earlier endpoint list.
 */
final class DiscoverySimulation {
    private static final double SNAPSHOT_INSTEAD_OF_DELTA_PROBABILITY = 0.15;
    private static final double CALL_FAILURE_PROBABILITY = 0.35;
    private static final double WATCH_STARTS_WITH_DELTA_PROBABILITY = 0.5;
    private static final double SECOND_FAILURE_PROBABILITY = 0.4;
    private static final long EMPTY_LIST_US = 350_000;

    private final SimulationContext context;
    private final BackendRegistry registry;
    private final List<SimulatedProxy> proxies;
    private final EndpointListSender sender;
    private EndpointList cachedCopy;

    DiscoverySimulation(SimulationContext context, BackendRegistry registry, List<SimulatedProxy> proxies) {
        this.context = context;
        this.registry = registry;
        this.proxies = proxies;
        this.sender = new EndpointListSender(context, registry);
        this.cachedCopy = registry.snapshot();
    }

    /** Makes the current snapshot the cached copy of proxies that start later. */
    void refreshCachedCopy() {
        cachedCopy = registry.snapshot();
    }

    /** Sends a proxy that has just started its cached copy, and the current snapshot if the registry pushes. */
    void proxyStarted(SimulatedProxy proxy) {
        sender.sendCached(proxy, cachedCopy);
        if (context.scenario().pushed()) {
            scheduleBetween(50_000, 300_000, () -> sender.pushSnapshot(proxy));
        }
    }

    /** Notifies each proxy of the changes of the registry, at a time of its own. */
    void announceChanges() {
        for (SimulatedProxy proxy : proxies) {
            boolean complete = context.random().chance(SNAPSHOT_INSTEAD_OF_DELTA_PROBABILITY);
            scheduleBetween(20_000, 400_000, () -> {
                if (complete) {
                    sender.pushSnapshot(proxy);
                } else {
                    sender.pushDelta(proxy);
                }
            });
        }
    }

    /** Sends each proxy a snapshot without any backend, and after a short time the current one. */
    void announceEmptyList() {
        for (SimulatedProxy proxy : proxies) {
            if (sender.pushEmptySnapshot(proxy)) {
                context.schedule().scheduleAfter(EMPTY_LIST_US, () -> sender.pushSnapshot(proxy));
            }
        }
    }

    /** Answers a poll with the current snapshot or a failure. */
    void poll(SimulatedProxy proxy) {
        answerCall(proxy, () -> sender.sendSnapshot(proxy));
    }

    /** Starts a watch, unless the call fails. */
    void startWatch(SimulatedProxy proxy) {
        int incarnation = proxy.incarnation();
        answerCall(proxy, () -> beginWatch(proxy, incarnation));
    }

    void stopWatch(SimulatedProxy proxy) {
        proxy.setWatching(false);
    }

    private void answerCall(SimulatedProxy proxy, Runnable answer) {
        int incarnation = proxy.incarnation();
        scheduleBetween(2_000, 300_000, () -> {
            if (!proxy.isRunning(incarnation)) {
                return;
            }
            if (context.random().chance(CALL_FAILURE_PROBABILITY)) {
                sender.sendFailure(proxy);
            } else {
                answer.run();
            }
        });
    }

    private void beginWatch(SimulatedProxy proxy, int incarnation) {
        proxy.setWatching(true);
        if (context.random().chance(WATCH_STARTS_WITH_DELTA_PROBABILITY)) {
            // The last change comes again: a proxy must accept a delta that it has already.
            proxy.setRevision(Math.max(0, proxy.revision() - 1));
            sender.pushDelta(proxy);
        } else {
            sender.sendSnapshot(proxy);
        }
        scheduleBetween(3_000_000, 15_000_000, () -> failWatch(proxy, incarnation));
    }

    private void failWatch(SimulatedProxy proxy, int incarnation) {
        if (!proxy.isRunning(incarnation) || !proxy.isWatching()) {
            return;
        }
        proxy.setWatching(false);
        sender.sendFailure(proxy);
        // A failure does not say which call has failed, so a second one may follow at once.
        if (context.random().chance(SECOND_FAILURE_PROBABILITY)) {
            scheduleBetween(5_000, 90_000, () -> repeatFailure(proxy, incarnation));
        }
    }

    private void repeatFailure(SimulatedProxy proxy, int incarnation) {
        if (proxy.isRunning(incarnation) && !proxy.isWatching()) {
            sender.sendFailure(proxy);
        }
    }

    private void scheduleBetween(long minUs, long maxUs, Runnable action) {
        context.schedule().scheduleAfter(context.random().between(minUs, maxUs), action);
    }
}
