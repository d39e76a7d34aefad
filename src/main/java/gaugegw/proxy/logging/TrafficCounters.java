package gaugegw.proxy.logging;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts how requests and attempts end, and logs the counts at intervals: each response that an operator misses is in
 * one of them. Used on the event loop only.
 */
public final class TrafficCounters {
    private final Map<TrafficEvent, Long> counts = new EnumMap<>(TrafficEvent.class);

    /** Counts an event. */
    public void count(TrafficEvent event) {
        counts.merge(event, 1L, Long::sum);
    }

    /** Returns how often an event has been counted since the counts were last logged. */
    public long get(TrafficEvent event) {
        return counts.getOrDefault(event, 0L);
    }

    /**
     * Logs the counts that are not 0 in one line and sets them to 0; logs nothing if there are none.
     *
     * @param prefix the beginning of the line
     */
    public void logAndReset(RateLimitedLog log, String prefix) {
        if (counts.isEmpty()) {
            return;
        }
        var line = new StringBuilder(prefix);
        counts.forEach((event, count) ->
                line.append(' ').append(event.label()).append('=').append(count));
        counts.clear();
        log.write(line.toString());
    }
}
