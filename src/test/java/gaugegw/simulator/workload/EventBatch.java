package gaugegw.simulator.workload;

/** The events of the current batch as wire text. */
final class EventBatch {
    private final StringBuilder text = new StringBuilder();
    private int eventCount;

    /** Adds an event: one line, or for an endpoint list several, without the last line end. */
    void add(String event) {
        eventCount++;
        text.append(event).append('\n');
    }

    /** Returns the batch for the host and starts an empty one. */
    String take(long nowUs) {
        String batch = "batch wall_us=" + nowUs + "\n" + text + "commit\n";
        text.setLength(0);
        return batch;
    }

    /** Returns the number of events in all batches. */
    int eventCount() {
        return eventCount;
    }
}
