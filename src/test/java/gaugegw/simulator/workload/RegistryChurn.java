package gaugegw.simulator.workload;

import java.util.List;

/** Changes the registry at random: backends start, restart, drain, leave, and get other capacity hints. */
final class RegistryChurn {
    private static final int MIN_SERVING = 4;
    private static final double CACHE_REFRESH_PROBABILITY = 0.3;
    /** Probability that a drained backend serves again rather than leaves. */
    private static final double RETURN_PROBABILITY = 0.5;

    private static final long QUIET_AT_END_US = 4_000_000;

    /** Kinds of change; the order is part of the workload. */
    private enum Change {
        ADD,
        RESTART,
        RESTORE,
        DRAIN,
        REMOVE,
        CAPACITY_HINT
    }

    private static final List<Change> ALL_CHANGES = List.of(Change.values());
    /** Changes after which no fewer backends serve. */
    private static final List<Change> GROWING_CHANGES = List.of(Change.ADD, Change.RESTART, Change.RESTORE);

    private final SimulationContext context;
    private final BackendRegistry registry;
    private final DiscoverySimulation discovery;

    RegistryChurn(SimulationContext context, BackendRegistry registry, DiscoverySimulation discovery) {
        this.context = context;
        this.registry = registry;
        this.discovery = discovery;
    }

    /** Makes a random change and schedules the next one, until shortly before the end. */
    void changeRepeatedly() {
        if (context.remainingUs() <= QUIET_AT_END_US) {
            return;
        }
        WorkloadRandom random = context.random();
        SimulatedBackend backend = random.pick(registry.backends());
        apply(randomChange(backend), backend);
        if (random.chance(CACHE_REFRESH_PROBABILITY)) {
            discovery.refreshCachedCopy();
        }
        discovery.announceChanges();
        context.schedule().scheduleAfter(random.between(300_000, 2_500_000), this::changeRepeatedly);
    }

    private Change randomChange(SimulatedBackend backend) {
        if (backend.isReserved()) {
            return Change.CAPACITY_HINT;
        }
        return context.random().pick(registry.servingCount() < MIN_SERVING ? GROWING_CHANGES : ALL_CHANGES);
    }

    private void apply(Change change, SimulatedBackend backend) {
        switch (change) {
            case ADD -> registry.add(context.nowUs());
            case RESTART -> registry.update(backend, BackendState.SERVING, context.nowUs() - 200_000);
            case RESTORE -> registry.update(backend, BackendState.SERVING, backend.startedAtUs());
            case DRAIN -> drain(backend);
            case REMOVE -> registry.update(backend, BackendState.GONE, backend.startedAtUs());
            case CAPACITY_HINT -> registry.updateCapacityHint(backend);
        }
    }

    private void drain(SimulatedBackend backend) {
        registry.update(backend, BackendState.DRAINING, backend.startedAtUs());
        long drainUs = context.random().between(500_000, 2_500_000);
        context.schedule().scheduleAfter(drainUs, () -> endDrain(backend));
    }

    private void endDrain(SimulatedBackend backend) {
        BackendState state = context.random().chance(RETURN_PROBABILITY) ? BackendState.SERVING : BackendState.GONE;
        registry.update(backend, state, context.nowUs());
        discovery.announceChanges();
    }
}
