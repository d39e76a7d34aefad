package gaugegw.simulator.workload;

import java.util.List;

/** Injects faults into backends: random ones for a few seconds each, and those that the scenario prescribes. */
final class FaultInjector {
    private enum Fault {
        HANG,
        UNREACHABLE,
        FAIL_ALL_CLASSES,
        FAIL_ONE_CLASS,
        SLOW
    }

    /** The random faults, of which a hang is twice as frequent as the others; the order is part of the workload. */
    private static final List<Fault> RANDOM_FAULTS = List.of(
            Fault.HANG, Fault.HANG, Fault.UNREACHABLE, Fault.FAIL_ALL_CLASSES, Fault.FAIL_ONE_CLASS, Fault.SLOW);

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
            inject(random.pick(RANDOM_FAULTS), backend, untilUs);
        }
        context.schedule().scheduleAfter(random.between(500_000, 4_000_000), this::injectRepeatedly);
    }

    private void inject(Fault fault, SimulatedBackend backend, long untilUs) {
        switch (fault) {
            case HANG -> backend.hangUntil(untilUs);
            case UNREACHABLE -> backend.makeUnreachableUntil(untilUs);
            case FAIL_ALL_CLASSES -> backend.failUntil(untilUs, RequestClass.ALL);
            case FAIL_ONE_CLASS ->
                backend.failUntil(untilUs, List.of(context.random().pick(RequestClass.ALL)));
            case SLOW -> backend.slowDownUntil(untilUs);
        }
    }

    /** Makes connections to a backend fail from now on, for {@code durationUs}. */
    void makeUnreachable(SimulatedBackend backend, long durationUs) {
        backend.makeUnreachableUntil(context.nowUs() + durationUs);
    }

    /** Makes connections to all present backends fail, without shortening an outage that lasts longer. */
    void makeAllUnreachable(long durationUs) {
        long untilUs = context.nowUs() + durationUs;
        registry.backends().forEach(backend -> backend.extendUnreachableUntil(untilUs));
    }

    /** Lets attempts on all present backends get no answer. */
    void hangAll(long durationUs) {
        long untilUs = context.nowUs() + durationUs;
        registry.backends().forEach(backend -> backend.hangUntil(untilUs));
    }
}
