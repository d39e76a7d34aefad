package gaugegw.simulator.workload;

/** Changes the registry at random: backends start, restart, drain, leave, and get other capacity hints. */
final class RegistryChurn {
    private static final int MIN_SERVING = 4;
    private static final long QUIET_AT_END_US = 4_000_000;

    private static final int HINT_CHANGE = 5;
    private static final int CHANGES = 6;
    /** The first changes of the list do not make the fleet smaller. */
    private static final int CHANGES_THAT_KEEP_SERVING = 3;

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
        int changes = registry.servingCount() < MIN_SERVING ? CHANGES_THAT_KEEP_SERVING : CHANGES;
        change(backend, backend.isReserved() ? HINT_CHANGE : random.below(changes));
        if (random.chance(0.3)) {
            discovery.refreshCachedCopy();
        }
        discovery.announceChanges();
        context.schedule().scheduleAfter(random.between(300_000, 2_500_000), this::changeRepeatedly);
    }

    private void change(SimulatedBackend backend, int change) {
        switch (change) {
            case 0 -> registry.add(context.nowUs());
            case 1 -> registry.update(backend, BackendState.SERVING, context.nowUs() - 200_000);
            case 2 -> registry.update(backend, BackendState.SERVING, backend.startedAtUs());
            case 3 -> drain(backend);
            case 4 -> registry.update(backend, BackendState.GONE, backend.startedAtUs());
            default -> registry.updateCapacityHint(backend);
        }
    }

    private void drain(SimulatedBackend backend) {
        registry.update(backend, BackendState.DRAINING, backend.startedAtUs());
        long drainUs = context.random().between(500_000, 2_500_000);
        context.schedule().scheduleAfter(drainUs, () -> endDrain(backend));
    }

    private void endDrain(SimulatedBackend backend) {
        BackendState state = context.random().chance(0.5) ? BackendState.SERVING : BackendState.GONE;
        registry.update(backend, state, context.nowUs());
        discovery.announceChanges();
    }
}
