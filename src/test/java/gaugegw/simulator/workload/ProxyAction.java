package gaugegw.simulator.workload;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** An action of a proxy: one line of a reply, with the names that it has on the wire. */
final class ProxyAction {
    private final String line;
    private final String kind;
    private final Map<String, String> values;

    private ProxyAction(String line, String kind, Map<String, String> values) {
        this.line = line;
        this.kind = kind;
        this.values = values;
    }

    static ProxyAction parse(String line) {
        String[] parts = line.split(" ", -1);
        var values = new HashMap<String, String>();
        for (int i = 1; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            values.put(parts[i].substring(0, Math.max(0, equals)), parts[i].substring(equals + 1));
        }
        return new ProxyAction(line, parts[0], values);
    }

    String kind() {
        return kind;
    }

    Optional<String> find(String name) {
        return Optional.ofNullable(values.get(name));
    }

    /** Returns a value that the action must have. */
    String text(String name) {
        return find(name).orElseThrow(() -> error("no " + name));
    }

    /** Returns a number that the action must have. */
    long number(String name) {
        return Long.parseLong(text(name));
    }

    int index(String name) {
        return Integer.parseInt(text(name));
    }

    /** Returns the error that fails the test because of this action. */
    AssertionError error(String problem) {
        return new AssertionError(problem + ": " + line);
    }
}
