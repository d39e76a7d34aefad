package gaugegw.simulator.workload;

import java.util.List;

/** Schedules the course of a scenario: starts of proxies and random activity, restarts, and prescribed faults. */
final class ScenarioScript {
    /** Backend with the prescribed outage. */
    private static final int FAULTY_BACKEND = 2;

    private final SimulationContext context;
    private final BackendRegistry registry;
    private final List<SimulatedProxy> proxies;
    private final ProxyLifecycle lifecycle;
    private final DiscoverySimulation discovery;
    private final FaultInjector faults;

    ScenarioScript(
            SimulationContext context,
            BackendRegistry registry,
            List<SimulatedProxy> proxies,
            ProxyLifecycle lifecycle,
            DiscoverySimulation discovery,
            FaultInjector faults) {
        this.context = context;
        this.registry = registry;
        this.proxies = proxies;
        this.lifecycle = lifecycle;
        this.discovery = discovery;
        this.faults = faults;
    }

    /** Schedules the starts of the proxies. */
    void scheduleStarts() {
        for (int i = 0; i < proxies.size(); i++) {
            SimulatedProxy proxy = proxies.get(i);
            at(1_000 + 300_000L * i, () -> lifecycle.start(proxy));
        }
    }

    /** Schedules activity that goes on at random from its first time to the end. */
    void scheduleActivity(RequestGenerator clients, RegistryChurn churn, UnsolicitedEvents unsolicited) {
        at(200_000, clients::arriveRepeatedly);
        at(500_000, faults::injectRepeatedly);
        at(1_500_000, churn::changeRepeatedly);
        at(700_000, unsolicited::sendRepeatedly);
    }

    /** Schedules a restart without a pause, which some variants leave out, and one with a pause. */
    void scheduleRestarts() {
        SimulatedProxy proxy = proxies.get(proxies.size() - 1);
        if (context.scenario().variant() != 2) {
            at(31_000_000, () -> lifecycle.restart(proxy));
        }
        at(52_000_000, () -> {
            lifecycle.stop(proxy);
            context.schedule().scheduleAfter(400_000, () -> lifecycle.start(proxy));
        });
    }

    /** Schedules faults that are too rare or too long to happen at random. */
    void scheduleFaults() {
        int variant = context.scenario().variant();
        SimulatedBackend faulty = registry.backends().get(FAULTY_BACKEND);
        faulty.reserve();
        switch (variant) {
            // Recovers after several backoffs.
            case 1 -> at(200_000, () -> faults.makeUnreachable(faulty, 23_000_000));
            // Fails long enough for the longest backoff.
            case 2 -> at(200_000, () -> faults.makeUnreachable(faulty, 88_000_000));
            default -> at(24_500_000, () -> faults.hangAll(3_000_000));
        }
        at(44_000_000, () -> faults.makeAllUnreachable(1_200_000));
        if (variant != 2) {
            at(47_000_000, discovery::announceEmptyList);
        }
    }

    private void at(long elapsedUs, Runnable action) {
        context.schedule().scheduleAfter(elapsedUs, action);
    }
}
