package gaugegw.simulator.workload;

import java.util.List;

/** A backend: its entry in the registry, its capacity, its present faults and the attempts that it works on. */
final class SimulatedBackend {
    private static final int OVERLOAD_ATTEMPTS_PER_SLOT = 3;
    private static final int SLOWDOWN = 6;

    /** Properties that do not change while the backend exists. */
    record Traits(String id, MachineType machine, String zone, int cell, double speed, int slots) {}

    private final Traits traits;
    private BackendState state = BackendState.SERVING;
    private double capacityHint;
    private long startedAtUs;
    private int revision;
    private int attemptsInFlight;
    private boolean reserved;
    private long hungUntilUs;
    private long unreachableUntilUs;
    private long failingUntilUs;
    private List<RequestClass> failingClasses = List.of();
    private long slowUntilUs;

    SimulatedBackend(Traits traits, double capacityHint) {
        this.traits = traits;
        this.capacityHint = capacityHint;
    }

    String id() {
        return traits.id();
    }

    BackendState state() {
        return state;
    }

    /** Returns the time of the last start, or 0 if it has run since long before the scenario. */
    long startedAtUs() {
        return startedAtUs;
    }

    /** Returns the revision of the registry in which the entry changed last. */
    int revision() {
        return revision;
    }

    void update(BackendState newState, long newStartedAtUs, int newRevision) {
        state = newState;
        startedAtUs = newStartedAtUs;
        revision = newRevision;
    }

    void setCapacityHint(double capacityHint) {
        this.capacityHint = capacityHint;
    }

    /** Returns whether scripted faults own this backend: it neither restarts nor leaves, and has no random faults. */
    boolean isReserved() {
        return reserved;
    }

    void reserve() {
        reserved = true;
    }

    int attemptsInFlight() {
        return attemptsInFlight;
    }

    void attemptStarted() {
        attemptsInFlight++;
    }

    void attemptEnded() {
        attemptsInFlight--;
    }

    boolean isOverloaded() {
        return attemptsInFlight > OVERLOAD_ATTEMPTS_PER_SLOT * traits.slots();
    }

    /** Attempts begun until then get no answer. */
    void hangUntil(long timeUs) {
        hungUntilUs = timeUs;
    }

    boolean isHung(long nowUs) {
        return nowUs < hungUntilUs;
    }

    /** Connections fail until then. */
    void makeUnreachableUntil(long timeUs) {
        unreachableUntilUs = timeUs;
    }

    /** Connections fail until then, or until the end of the present outage if that is later. */
    void extendUnreachableUntil(long timeUs) {
        unreachableUntilUs = Math.max(unreachableUntilUs, timeUs);
    }

    boolean isUnreachable(long nowUs) {
        return nowUs < unreachableUntilUs || state == BackendState.GONE;
    }

    /** Most requests of these classes fail until then. */
    void failUntil(long timeUs, List<RequestClass> classes) {
        failingUntilUs = timeUs;
        failingClasses = classes;
    }

    boolean isFailing(long nowUs, RequestClass requestClass) {
        return nowUs < failingUntilUs && failingClasses.contains(requestClass);
    }

    /** Service takes several times as long until then. */
    void slowDownUntil(long timeUs) {
        slowUntilUs = timeUs;
    }

    void extendSlowdownUntil(long timeUs) {
        slowUntilUs = Math.max(slowUntilUs, timeUs);
    }

    /** Returns the service time of work, given the attempts in flight and the load by other proxies. */
    long serviceTimeUs(long workUs, double load, long nowUs) {
        double utilization = (attemptsInFlight + traits.slots() * 0.25 * load) / traits.slots();
        double effectiveSpeed = traits.speed() * warmUpFactor(nowUs);
        return (long)
                (workUs * (1 + utilization * utilization) / effectiveSpeed * (nowUs < slowUntilUs ? SLOWDOWN : 1));
    }

    private double warmUpFactor(long nowUs) {
        if (startedAtUs == 0) {
            return 1;
        }
        double initial = ScenarioSettings.WARM_UP_INITIAL_CAPACITY;
        return Math.min(1, initial + (1 - initial) * (nowUs - startedAtUs) / (double) ScenarioSettings.WARM_UP_US);
    }

    /** Returns the line of this backend in an endpoint list, with its line end. */
    String entry() {
        return "entry stage_state=" + state.wireName() + " group=" + traits.cell() + " machine="
                + traits.machine().name() + " zone=" + traits.zone()
                + (startedAtUs == 0 ? "" : " last_start_us=" + startedAtUs) + " capacity_hint=" + capacityHint
                + " backend=" + id() + "\n";
    }
}
