package gaugegw.proxy.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * What clients and backends saw of each request, and which rules the proxy broke. All times are
 * {@link System#nanoTime}. Thread-safe.
 */
final class SoakLedger {
    /** Every time limit between the proxy and its peers is this much longer on sockets. */
    private static final long SOCKET_SLACK_MS = 50;
    /** A response that comes this much after the deadline earns nothing; one that comes later is lost. */
    private static final long LATE_RESPONSE_MS = 500;
    /** An attempt that begins later than this after its client closed is a lost request. */
    private static final long ATTEMPT_AFTER_CLOSE_MS = 100;
    /** A backend may be passed a deadline that exceeds what the client has left by this much. */
    private static final long DEADLINE_SLACK_MS = 150;
    /** A kept connection that ends so soon after a request may have been closed before the request was read. */
    private static final long CROSSING_MS = 50;

    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final List<String> violations = new ArrayList<>();

    /** One request, as its client and the backends saw it. */
    private static final class Entry {
        private final boolean mayRepeat;
        private final long waitMs;
        private long sentNs;
        private long clientClosedNs = Long.MAX_VALUE;
        private int executions;
        private int status;

        Entry(boolean mayRepeat, long waitMs, long sentNs) {
            this.mayRepeat = mayRepeat;
            this.waitMs = waitMs;
            this.sentNs = sentNs;
        }
    }

    private final long beganNs = System.nanoTime();
    private int served;
    private int rejected;
    private int failed;
    private int crossed;
    private int left;

    /** Records that the last byte of a request is about to be written. */
    synchronized void sent(String id, boolean mayRepeat, long waitMs) {
        entries.put(id, new Entry(mayRepeat, waitMs, System.nanoTime()));
    }

    /** Records that the last byte has been written: times count from now, or from a little earlier. */
    synchronized void lastByteWritten(String id) {
        entries.get(id).sentNs = System.nanoTime();
    }

    synchronized void answered(String id, int status) {
        Entry entry = entries.get(id);
        entry.status = status;
        long afterMs = msSince(entry.sentNs);
        if (afterMs > entry.waitMs + LATE_RESPONSE_MS + SOCKET_SLACK_MS) {
            violations.add(
                    "late: " + id + " answered with " + status + " after " + afterMs + " of " + entry.waitMs + " ms");
        }
        if (status == 200) {
            served++;
        } else if (status == 429 || status == 503) {
            rejected++;
        } else {
            failed++;
        }
    }

    /**
     * Records that a connection ended with no complete response.
     *
     * @param firstOnConnection whether the request was the first one on its connection
     * @return whether the client is to send the request again, on another connection
     */
    synchronized boolean ended(String id, boolean firstOnConnection, String how) {
        Entry entry = entries.get(id);
        long afterMs = msSince(entry.sentNs);
        if (!firstOnConnection && afterMs <= CROSSING_MS && entry.executions == 0) {
            crossed++;
            return true;
        }
        violations.add("lost: " + id + " sent as " + (firstOnConnection ? "first" : "later")
                + " request, connection ended after " + afterMs + " of " + entry.waitMs + " ms with "
                + entry.executions + " executions: " + how);
        return false;
    }

    synchronized void clientLeft(String id) {
        entries.get(id).clientClosedNs = System.nanoTime();
        left++;
    }

    /** Records an attempt that a backend has received completely; returns the number of its executions before. */
    synchronized void attempted(String id, boolean executes, long toldMs) {
        Entry entry = entries.get(id);
        if (entry == null) {
            violations.add("unknown: a backend got " + id + ", which no client sent");
            return;
        }
        long nowNs = System.nanoTime();
        long afterCloseMs = entry.clientClosedNs == Long.MAX_VALUE ? 0 : ms(nowNs - entry.clientClosedNs);
        if (afterCloseMs > ATTEMPT_AFTER_CLOSE_MS + SOCKET_SLACK_MS) {
            violations.add("lost: an attempt of " + id + " began " + afterCloseMs + " ms after its client closed");
        }
        long leftMs = entry.waitMs - ms(nowNs - entry.sentNs);
        if (toldMs > Math.max(0, leftMs) + DEADLINE_SLACK_MS + SOCKET_SLACK_MS) {
            violations.add("deadline: " + id + " was passed " + toldMs + " ms, the client has " + leftMs + " ms left, "
                    + ms(nowNs - beganNs) + " ms after the first request");
        }
        if (executes) {
            entry.executions++;
        }
        if (entry.executions > 1 && !entry.mayRepeat) {
            violations.add("duplicate: " + id + " was executed " + entry.executions + " times");
        }
    }

    void violation(String text) {
        synchronized (this) {
            violations.add(text);
        }
    }

    /** Checks what only the end of a run shows, and returns all violations. */
    synchronized List<String> finish() {
        entries.forEach((id, entry) -> {
            boolean rejection = entry.status == 429 || entry.status == 503;
            if (rejection && entry.executions > 0 && !entry.mayRepeat) {
                violations.add("rejected: " + id + " was executed and answered with " + entry.status);
            }
        });
        return List.copyOf(violations);
    }

    synchronized String summary() {
        return "served " + served + ", rejected " + rejected + ", failed " + failed + ", sent again " + crossed
                + ", left " + left;
    }

    private static long msSince(long ns) {
        return ms(System.nanoTime() - ns);
    }

    private static long ms(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(ns);
    }
}
