import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** Backends that now and then send a second answer some milliseconds after the first. */
final class Case2 {
    /** The traffic of one proxy of three: 170 requests a second in all. */
    private static final double REQUESTS_PER_SECOND = 57;
    private static final double LENGTH_MS = 85_000;
    /** One answer in so many is followed by a second one. */
    private static final int ONE_IN = 20;
    private static final double LATE_MS = 12;
    private static final int TIMEOUT_MS = 1_200;

    private static final List<Lab.Ending> ENDINGS = Collections.synchronizedList(new ArrayList<>());
    private static final ConcurrentLinkedDeque<Lab.Conn> IDLE = new ConcurrentLinkedDeque<>();
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
                sendRequests(proxy.port, record);
            }
        }
        var byStatus = new TreeMap<Integer, Integer>();
        ENDINGS.forEach(e -> byStatus.merge(e.status(), 1, Integer::sum));
        record.say("requests by status: " + byStatus + ", second answers sent: " + SECOND_ANSWERS);
        List<Lab.Ending> foreign = ENDINGS.stream()
                .filter(e -> e.status() == 200 && !e.detail().startsWith("answer to " + e.id() + " from "))
                .toList();
        foreign.forEach(e -> record.line("FOREIGN: " + e.id() + " was served with: " + e.detail()));
        record.say("requests served with the answer to another request: " + foreign.size());
        return foreign.isEmpty();
    }

    private static Lab.Backend backend(String id, Lab.Record record, boolean trouble) throws IOException {
        return new Lab.Backend(id, record, (backend, conn, request) -> {
            // The work of escuchar is 23 to 41 ms.
            Lab.sleep(23 + 18 * Math.random());
            String answer = Lab.Backend.ok(backend.bodyFor(request));
            conn.write(answer);
            if (ANSWERS.incrementAndGet() % ONE_IN == 0 && trouble) {
                Lab.sleep(LATE_MS);
                conn.write(answer);
                record.line("backend " + id + ": second answer to " + request.header("x-request-id"));
                SECOND_ANSWERS.incrementAndGet();
            }
            return true;
        });
    }

    /** Sends requests at random moments, each on an idle connection or, if there is none, on a new one. */
    private static void sendRequests(int port, Lab.Record record) throws InterruptedException {
        var random = new Random(1);
        double next = Lab.nowMs();
        double end = next + LENGTH_MS;
        var threads = new ArrayList<Thread>();
        for (int i = 0; next < end; i++) {
            String id = String.format("r%05d", i);
            Lab.sleep(next - Lab.nowMs());
            threads.add(Lab.daemon(() -> send(port, record, id)));
            next += -Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_SECOND;
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static void send(int port, Lab.Record record, String id) {
        try {
            Lab.Conn conn = IDLE.pollLast();
            if (conn == null) {
                conn = Lab.Conn.open(port);
            }
            byte[] request = Lab.bytes(Lab.head("GET", id, "escuchar", TIMEOUT_MS, 0));
            Lab.Ending ending = Lab.ask(conn, record, id, request, TIMEOUT_MS, 600);
            if (ending.status() == 0) {
                // The proxy closed the connection as it was idle; the client sends once more on a new one.
                conn.close();
                conn = Lab.Conn.open(port);
                ending = Lab.ask(conn, record, id, request, TIMEOUT_MS, 600);
            }
            ENDINGS.add(ending);
            if (ending.answered()) {
                IDLE.addLast(conn);
            } else {
                conn.close();
            }
        } catch (IOException e) {
            record.line("client: no connection for " + id + ": " + e.getMessage());
        }
    }
}
