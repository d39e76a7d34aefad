package gaugegw.simulator.workload;

/** An attempt of a request on a backend. */
final class SimulatedAttempt {
    private final SimulatedRequest request;
    private final SimulatedBackend backend;
    private final int index;
    private final long startedAtUs;
    private boolean ended;

    SimulatedAttempt(SimulatedRequest request, SimulatedBackend backend, int index, long startedAtUs) {
        this.request = request;
        this.backend = backend;
        this.index = index;
        this.startedAtUs = startedAtUs;
    }

    SimulatedRequest request() {
        return request;
    }

    SimulatedBackend backend() {
        return backend;
    }

    /** Returns the position among the attempts of the request, from 0. */
    int index() {
        return index;
    }

    long durationUs(long nowUs) {
        return nowUs - startedAtUs;
    }

    boolean isEnded() {
        return ended;
    }

    void end() {
        ended = true;
        backend.attemptEnded();
    }
}
