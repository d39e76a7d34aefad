package gaugegw.simulator.workload;

import java.util.List;

/** Sends proxies messages of peers and results of health checks that no action has requested. */
final class UnsolicitedEvents {
    private static final int MAX_HEALTH_CHECK_US = 9_000;

    private final SimulationContext context;
    private final BackendRegistry registry;
    private final List<SimulatedProxy> proxies;

    UnsolicitedEvents(SimulationContext context, BackendRegistry registry, List<SimulatedProxy> proxies) {
        this.context = context;
        this.registry = registry;
        this.proxies = proxies;
    }

    /** Sends an event and schedules the next one, until the end. */
    void sendRepeatedly() {
        if (context.remainingUs() <= 0) {
            return;
        }
        WorkloadRandom random = context.random();
        SimulatedProxy proxy = random.pick(proxies);
        SimulatedBackend backend = random.pick(registry.backends());
        if (proxy.isRunning()) {
            context.events().add(random.chance(0.5) ? peerMessage(proxy) : healthCheckResult(proxy, backend));
        }
        context.schedule().scheduleAfter(random.between(1_000, 1_000_000), this::sendRepeatedly);
    }

    private static String peerMessage(SimulatedProxy proxy) {
        return "inbox who=" + proxy.id() + " author=1 content=68692037";
    }

    private String healthCheckResult(SimulatedProxy proxy, SimulatedBackend backend) {
        int durationUs = context.random().below(MAX_HEALTH_CHECK_US);
        AttemptOutcome outcome =
                context.random().chance(0.5) ? AttemptOutcome.DELIVERED : AttemptOutcome.CONNECT_FAILED;
        return "probed who=" + proxy.id() + " cost_time_us=" + durationUs + " how=" + outcome.wireName() + " backend="
                + backend.id();
    }
}
