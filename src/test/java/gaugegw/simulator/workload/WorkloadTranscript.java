package gaugegw.simulator.workload;

import java.util.Map;
import java.util.TreeMap;

/** Records the batches and replies of a workload. */
final class WorkloadTranscript {
    private final StringBuilder all = new StringBuilder();
    private final StringBuilder replies = new StringBuilder();
    private final Map<String, Integer> actionCounts = new TreeMap<>();

    void addBatch(String batch) {
        all.append(batch);
    }

    void addReply(String reply) {
        all.append(reply);
        replies.append(reply);
    }

    void countAction(String kind) {
        actionCounts.merge(kind, 1, Integer::sum);
    }

    /** Returns batches and replies in turn. */
    String text() {
        return all.toString();
    }

    /** Returns all replies as text. */
    String replies() {
        return replies.toString();
    }

    /** Returns the number of actions of each kind. */
    Map<String, Integer> actionCounts() {
        return actionCounts;
    }
}
