package gaugegw.simulator.workload;

import java.util.List;

/** Injects faults into backends: random ones for a few seconds each, and those that the scenario prescribes. */
final class FaultInjector {
    private static final long QUIET_AT_END_US = 8_000_000;

    private final SimulationContext context;
    private final BackendRegistry registry;

    FaultInjector(SimulationContext context, BackendRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Injects a random fault and schedules the next one, until shortly before the end. */
    void injectRepeatedly() {
        if (context.remainingUs() <= QUIET_AT_END_US) {
            return;
        }
        WorkloadRandom random = context.random();
        SimulatedBackend backend = random.pick(registry.backends());
        long untilUs = context.nowUs() + random.between(1_000_000, 5_000_000);
        if (!backend.isReserved()) {
            inject(backend, untilUs);
        }
        context.schedule().scheduleAfter(random.between(500_000, 4_000_000), this::injectRepeatedly);
    }

    private void inject(SimulatedBackend backend, long untilUs) {
        switch (context.random().below(6)) {
            case 0, 1 -> backend.hangUntil(untilUs);
            case 2 -> backend.makeUnreachableUntil(untilUs);
            case 3 -> backend.failUntil(untilUs, RequestClass.ALL);
            case 4 -> backend.failUntil(untilUs, List.of(context.random().pick(RequestClass.ALL)));
            default -> backend.slowDownUntil(untilUs);
        }
    }

    void makeUnreachable(SimulatedBackend backend, long durationUs) {
        backend.makeUnreachableUntil(context.nowUs() + durationUs);
    }

    void makeAllUnreachable(long durationUs) {
        long untilUs = context.nowUs() + durationUs;
        registry.backends().forEach(backend -> backend.extendUnreachableUntil(untilUs));
    }

    void hangAll(long durationUs) {
        long untilUs = context.nowUs() + durationUs;
        registry.backends().forEach(backend -> backend.hangUntil(untilUs));
    }
}
