package gaugegw.simulator.workload;

/** State of a backend in the registry. */
enum BackendState {
    SERVING("IN"),
    DRAINING("LAME"),
    GONE("OUT");

    private final String wireName;

    BackendState(String wireName) {
        this.wireName = wireName;
    }

    String wireName() {
        return wireName;
    }
}
