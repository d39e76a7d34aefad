package gaugegw.simulator.workload;

/** A proxy under test as its surroundings see it: whether it runs, and which endpoint list it was sent last. */
final class SimulatedProxy {
    private static final int FIRST_ID = 3;
    private static final int ID_STEP = 2;

    private final int id;
    private final int rank;
    private boolean running;
    private int incarnation;
    private long stoppedAtUs;
    private boolean watching;
    private int revision;

    /** Creates the proxy with the given index among the simulated ones, not yet started. */
    SimulatedProxy(int index, int rank) {
        this.id = FIRST_ID + ID_STEP * index;
        this.rank = rank;
    }

    /** Returns the index of the simulated proxy with this id on the wire. */
    static int indexOf(int id) {
        return (id - FIRST_ID) / ID_STEP;
    }

    int id() {
        return id;
    }

    int rank() {
        return rank;
    }

    void start() {
        running = true;
        incarnation++;
        watching = false;
        revision = 0;
    }

    void stop(long nowUs) {
        running = false;
        stoppedAtUs = nowUs;
    }

    boolean isRunning() {
        return running;
    }

    boolean isRunning(int expectedIncarnation) {
        return running && incarnation == expectedIncarnation;
    }

    boolean stoppedAt(long timeUs) {
        return stoppedAtUs == timeUs;
    }

    /** Returns how many times the proxy has been started. */
    int incarnation() {
        return incarnation;
    }

    boolean isWatching() {
        return watching;
    }

    void setWatching(boolean watching) {
        this.watching = watching;
    }

    /** Returns the revision of the registry that the proxy was sent last. */
    int revision() {
        return revision;
    }

    void setRevision(int revision) {
        this.revision = revision;
    }
}
