package gaugegw.simulator.workload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The registry of all backends, also of those that are gone, with a revision that grows with each change. */
final class BackendRegistry {
    private static final int CELLS = 4;

    private final WorkloadRandom random;
    private final List<SimulatedBackend> backends = new ArrayList<>();
    private final Map<String, SimulatedBackend> backendsById = new HashMap<>();
    private int revision;

    BackendRegistry(WorkloadRandom random) {
        this.random = random;
    }

    /** Returns all backends in the order of their creation. */
    List<SimulatedBackend> backends() {
        return backends;
    }

    Optional<SimulatedBackend> find(String id) {
        return Optional.ofNullable(backendsById.get(id));
    }

    int revision() {
        return revision;
    }

    /** Adds a backend of random traits; {@code startedAtUs} is 0 for one that has run for long. */
    void add(long startedAtUs) {
        int number = backends.size();
        String id = "10." + (17 * number % 250) + "." + random.below(250) + ".7:" + (8000 + number);
        MachineType machine = random.pick(MachineType.ALL);
        String zone = ScenarioSettings.ZONES.get(number % ScenarioSettings.ZONES.size());
        double capacityHint = roundToHundredths(machine.speed() * (0.8 + 0.4 * random.fraction()));
        double speed = machine.speed() * (0.8 + 0.4 * random.fraction());
        int slots = 2 + random.below(4);
        var traits = new SimulatedBackend.Traits(id, machine, zone, number % CELLS, speed, slots);
        var backend = new SimulatedBackend(traits, capacityHint);
        backends.add(backend);
        backendsById.put(id, backend);
        update(backend, BackendState.SERVING, startedAtUs);
    }

    /** Changes the entry of a backend, under a new revision. */
    void update(SimulatedBackend backend, BackendState state, long startedAtUs) {
        revision++;
        backend.update(state, startedAtUs, revision);
    }

    /** Gives the backend a random capacity hint, which need not fit its speed. */
    void updateCapacityHint(SimulatedBackend backend) {
        backend.setCapacityHint(roundToHundredths(0.3 + 2 * random.fraction()));
        update(backend, backend.state(), backend.startedAtUs());
    }

    private static double roundToHundredths(double value) {
        return Math.round(100 * value) / 100.0;
    }

    int servingCount() {
        return (int) backends.stream()
                .filter(backend -> backend.state() == BackendState.SERVING)
                .count();
    }

    /** Returns the entries of all backends that are not gone. */
    EndpointList snapshot() {
        return list(backend -> backend.state() != BackendState.GONE);
    }

    /** Returns the entries that have changed after a revision, also of backends that are gone. */
    EndpointList deltaSince(int earlierRevision) {
        return list(backend -> backend.revision() > earlierRevision);
    }

    /** Returns a snapshot without any backend, under a revision of its own. */
    EndpointList emptySnapshot() {
        revision++;
        return new EndpointList(revision, List.of());
    }

    private EndpointList list(Predicate<SimulatedBackend> included) {
        return new EndpointList(
                revision,
                backends.stream().filter(included).map(SimulatedBackend::entry).toList());
    }
}
