package gaugegw.simulator.workload;

/**
 * What all parts of a simulation share.
 *
 * @param scenario parameters of the workload
 * @param random the one source of randomness
 * @param schedule clock and future events
 * @param events events of the current batch
 */
record SimulationContext(WorkloadScenario scenario, WorkloadRandom random, EventSchedule schedule, EventBatch events) {
    private static final double[] LOAD_LEVELS = {0.4, 1, 2, 0.7, 5, 1.5, 0.5, 3, 1, 8, 0.6};
    private static final long LOAD_LEVEL_US = 6_000_000;

    long nowUs() {
        return schedule.nowUs();
    }

    /** Returns the time left until the end of the scenario, in microseconds. */
    long remainingUs() {
        return scenario.durationUs() - schedule.elapsedUs();
    }

    /** Returns the load relative to the capacity of the backends. */
    double load() {
        return LOAD_LEVELS[(int) Math.min(LOAD_LEVELS.length - 1, schedule.elapsedUs() / LOAD_LEVEL_US)];
    }
}
