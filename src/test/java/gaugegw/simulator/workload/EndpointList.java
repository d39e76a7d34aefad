package gaugegw.simulator.workload;

import java.util.List;

/**
 * Entries of the registry at some revision.
 *
 * @param revision revision of the registry
 * @param entries lines of the backends, each with its line end
 */
record EndpointList(int revision, List<String> entries) {
    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the event that sends this list to a proxy, without the last line end; {@code form} is as on the wire. */
    String updateEvent(int proxyId, String form) {
        String text = "update who=" + proxyId + " form=" + form + " revision=" + revision + " nodes_list="
                + entries.size() + "\n" + String.join("", entries);
        return text.substring(0, text.length() - 1);
    }
}
