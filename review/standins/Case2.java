import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend that now and then sends a second answer some milliseconds after the first. */
final class Case2 {
    private static final int CLIENTS = Integer.getInteger("clients", 10);
    private static final int LATE_MS = Integer.getInteger("late", 15);
    private static final int ONE_IN = Integer.getInteger("oneIn", 20);
    private static final int WORK_MS = Integer.getInteger("work", 5);
    private static final int PAUSE_MS = Integer.getInteger("pause", 5);
    private static final double LENGTH_MS = 15_000;
    private static final int TIMEOUT_MS = 1_200;
    private static final List<Lab.Ending> ENDINGS = Collections.synchronizedList(new ArrayList<>());
    private static final AtomicInteger ANSWERS = new AtomicInteger();
    private static final AtomicInteger SECOND_ANSWERS = new AtomicInteger();

    private Case2() {}

    public static void main(String[] args) {
        Lab.run(args, Case2::holds);
    }

    private static boolean holds(Path root, Lab.Record record, boolean trouble) throws Exception {
        try (var discovery = new Lab.Discovery("discovery", record);
                var a = backend("s-1", record, trouble);
                var b = backend("s-2", record, trouble);
                var c = backend("s-3", record, trouble)) {
            for (Lab.Backend backend : List.of(a, b, c)) {
                discovery.set(backend.id, Lab.Discovery.entry(
                        backend.id, backend.server.address(), "cordon", 1, "ready", 0));
            }
            var config = new Lab.Config(discovery.server.address())
                    .profile("escuchar", 300_000, 1_200_000, "idempotent", "all", 5_000_000, 1)
                    .profile("subir", 750_000, 1_500_000, "at_most_once", "all", 5_000_000, 3);
            try (var proxy = new Lab.Proxy(root, record, config)) {
                proxy.awaitReady();
                double end = Lab.nowMs() + LENGTH_MS;
                var threads = new ArrayList<Thread>();
                for (int i = 0; i < CLIENTS; i++) {
                    int client = i;
                    threads.add(Lab.daemon(() -> client(proxy.port, record, client, end)));
                }
                for (Thread thread : threads) {
                    thread.join();
                }
            }
        }
        var byStatus = new TreeMap<Integer, Integer>();
        ENDINGS.forEach(e -> byStatus.merge(e.status(), 1, Integer::sum));
        record.say("requests by status: " + byStatus + ", second answers sent: " + SECOND_ANSWERS);
        List<Lab.Ending> foreign = ENDINGS.stream()
                .filter(e -> e.status() == 200 && !e.detail().startsWith("answer to " + e.id() + " from "))
                .toList();
        foreign.forEach(e -> record.line("FOREIGN: " + e.id() + " got: " + e.detail()));
        record.say("requests served with the answer to another request: " + foreign.size());
        return foreign.isEmpty();
    }

    private static Lab.Backend backend(String id, Lab.Record record, boolean trouble) throws IOException {
        return new Lab.Backend(id, record, (backend, conn, request) -> {
            Lab.sleep(WORK_MS);
            String answer = Lab.Backend.ok(backend.bodyFor(request));
            conn.write(answer);
            if (ANSWERS.incrementAndGet() % ONE_IN == 0 && trouble) {
                Lab.sleep(LATE_MS);
                record.line("backend " + id + ": second answer to " + request.header("x-request-id"));
                SECOND_ANSWERS.incrementAndGet();
                conn.write(answer);
            }
            return true;
        });
    }

    private static void client(int port, Lab.Record record, int client, double end) {
        Lab.Conn conn = null;
        for (int i = 0; Lab.nowMs() < end; i++) {
            try {
                if (conn == null) {
                    conn = Lab.Conn.open(port);
                }
                String id = String.format("c%02d-%04d", client, i);
                byte[] request = Lab.bytes(Lab.head("GET", id, "escuchar", TIMEOUT_MS, 0));
                Lab.Ending ending = Lab.ask(conn, record, id, request, TIMEOUT_MS, 600);
                ENDINGS.add(ending);
                if (!ending.answered()) {
                    conn.close();
                    conn = null;
                }
            } catch (IOException e) {
                conn = null;
            }
            Lab.sleep(PAUSE_MS);
        }
    }
}
