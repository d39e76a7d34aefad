package gaugegw.simulator.workload;

/** A proxy under test as its surroundings see it: whether it runs, and which endpoint list it was sent last. */
final class SimulatedProxy {
    private static final int FIRST_ID = 3;
    private static final int ID_STEP = 2;

    private final int id;
    private final int proxyIndex;
    private boolean running;
    private int incarnation;
    private long stoppedAtUs;
    private boolean watching;
    private int revision;

    /** Creates a proxy, not yet started: {@code ordinal} counts the simulated ones, {@code proxyIndex} all of the tier. */
    SimulatedProxy(int ordinal, int proxyIndex) {
        this.id = FIRST_ID + ID_STEP * ordinal;
        this.proxyIndex = proxyIndex;
    }

    /** Returns the ordinal of the simulated proxy with this id on the wire. */
    static int ordinalOf(int id) {
        return (id - FIRST_ID) / ID_STEP;
    }

    int id() {
        return id;
    }

    /** Returns the index of the proxy in its tier. */
    int proxyIndex() {
        return proxyIndex;
    }

    /** Starts a new incarnation, which has no watch and no endpoint list. */
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

    /** Returns whether this incarnation still runs. */
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
