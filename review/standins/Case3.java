import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;

/** A discovery service that answers slowly while a backend begins to drain. */
final class Case3 {
    private static final double SLOW_FROM_MS = 3_000;
    private static final double LATE_MS = 1_500;
    private static final double DRAIN_AT_MS = 8_000;
    private static final double SLOW_UNTIL_MS = 22_000;
    private static final double END_MS = 25_000;
    /** A change counts as told 6 s after discovery had it; the grace is 700 ms, and sockets have 50 ms more. */
    private static final double TOLD_AFTER_MS = 6_000;
    private static final double GRACE_MS = 700 + 50;
    /** Allowance for the time between the first byte of a send and its record at the backend. */
    private static final double RECORD_MS = 100;

    private static final int CLIENTS = 6;
    private static final int TIMEOUT_MS = 700;
    private static final List<Lab.Ending> ENDINGS = Collections.synchronizedList(new ArrayList<>());

    private Case3() {}

    public static void main(String[] args) {
        Lab.run(args, Case3::holds);
    }

    private static boolean holds(Path root, Lab.Record record, boolean trouble) throws Exception {
        try (var discovery = new Lab.Discovery("discovery", record);
                var a = backend("s-1", record);
                var b = backend("s-2", record);
                var c = backend("s-3", record)) {
            for (Lab.Backend backend : List.of(a, b, c)) {
                discovery.set(backend.id, entry(backend, "ready"));
            }
            var config = new Lab.Config(discovery.server.address())
                    .profile("buscar", 250_000, TIMEOUT_MS * 1_000, "idempotent", "all", 5_000_000, 1);
            config.mode = "on_request";
            config.zone = "sala";
            config.balancers = 2;
            config.cancel = false;
            config.mostTries = 2;
            config.connectTimeoutUs = 120_000;
            config.idleUs = 8_000_000;
            config.drainGraceUs = 700_000;
            config.fallMultiple = 2;
            config.fallUs = 2_000_000;
            config.mustAskInUs = 6_000_000;
            config.tenants = "{\"name\":\"publica\",\"allowance_per_s\":100.0}";
            try (var proxy = new Lab.Proxy(root, record, config)) {
                proxy.awaitReady();
                double start = Lab.nowMs();
                var threads = new ArrayList<Thread>();
                for (int i = 0; i < CLIENTS; i++) {
                    int client = i;
                    threads.add(Lab.daemon(() -> client(proxy.port, record, client, start + END_MS)));
                }
                Lab.sleep(start + SLOW_FROM_MS - Lab.nowMs());
                if (trouble) {
                    discovery.lateMs = LATE_MS;
                    record.say("disruption: discovery answers each call " + LATE_MS + " ms late");
                }
                Lab.sleep(start + DRAIN_AT_MS - Lab.nowMs());
                double drainAt = Lab.nowMs();
                discovery.set(c.id, entry(c, "draining"));
                Lab.sleep(start + SLOW_UNTIL_MS - Lab.nowMs());
                discovery.lateMs = 0;
                record.say("discovery answers as usual again");
                for (Thread thread : threads) {
                    thread.join();
                }
                return judge(record, c, drainAt);
            }
        }
    }

    private static boolean judge(Lab.Record record, Lab.Backend drained, double drainAt) {
        var byStatus = new TreeMap<Integer, Integer>();
        ENDINGS.forEach(e -> byStatus.merge(e.status(), 1, Integer::sum));
        record.say("requests by status: " + byStatus);
        List<Double> begun;
        synchronized (drained.begun) {
            begun = drained.begun.values().stream().flatMap(List::stream).sorted().toList();
        }
        double latest = begun.stream().mapToDouble(at -> at - drainAt).max().orElse(0);
        long late = begun.stream()
                .filter(at -> at > drainAt + TOLD_AFTER_MS + GRACE_MS + RECORD_MS)
                .count();
        record.say(String.format(
                "the drained backend was sent its last request %.0f ms after discovery had the change; requests that began"
                        + " after %.0f ms: %d",
                latest, TOLD_AFTER_MS + GRACE_MS + RECORD_MS, late));
        return late == 0;
    }

    private static String entry(Lab.Backend backend, String state) {
        return Lab.Discovery.entry(backend.id, backend.server.address(), "sala", 1, state, 0);
    }

    private static Lab.Backend backend(String id, Lab.Record record) throws IOException {
        return new Lab.Backend(id, record, (backend, conn, request) -> {
            Lab.sleep(15 + 15 * Math.random());
            conn.write(Lab.Backend.ok(backend.bodyFor(request)));
            return true;
        });
    }

    /** Sends a request each 100 ms on a connection that it keeps. */
    private static void client(int port, Lab.Record record, int client, double end) {
        Lab.Conn conn = null;
        for (int i = 0; Lab.nowMs() < end; i++) {
            try {
                if (conn == null) {
                    conn = Lab.Conn.open(port);
                }
                String id = String.format("c%02d-%04d", client, i);
                byte[] request = Lab.bytes(Lab.head("GET", id, "buscar", "publica", TIMEOUT_MS, 0));
                Lab.Ending ending = Lab.ask(conn, record, id, request, TIMEOUT_MS, 600);
                ENDINGS.add(ending);
                if (!ending.answered()) {
                    conn.close();
                    conn = null;
                }
            } catch (IOException e) {
                record.line("client " + client + ": no connection: " + e.getMessage());
                conn = null;
            }
            Lab.sleep(100);
        }
    }
}
