import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that stop in the middle of a request and stay, beside clients that send proper requests. They stop in the
 * body or, with the environment variable STOP_IN=head, in a head of many short header lines.
 */
final class Case1 {
    /** With the proper clients, these stay below a third of the 1,024 descriptors. */
    private static final int STOPPING_CLIENTS = 320;
    private static final int PROPER_CLIENTS = 20;
    private static final int BODY_BYTES = 65_536;
    private static final int SENT_BYTES = 65_000;
    private static final boolean STOP_IN_HEAD = "head".equals(System.getenv("STOP_IN"));
    /** With the other header lines, the head stays below 8 KiB. */
    private static final int SHORT_HEADERS = 1_500;
    private static final double TROUBLE_FROM_MS = 4_000;
    private static final double TROUBLE_MS = 8_000;
    private static final int TIMEOUT_MS = 1_200;
    /** The pages allow 500 ms after the time of a request, and 50 ms on sockets. */
    private static final int FURTHER_WAIT_MS = 1_000;

    private static final List<Lab.Ending> ENDINGS = Collections.synchronizedList(new ArrayList<>());
    private static final AtomicInteger STOPPED = new AtomicInteger();

    private Case1() {}

    public static void main(String[] args) {
        Lab.run(args, Case1::holds);
    }

    private static boolean holds(Path root, Lab.Record record, boolean trouble) throws Exception {
        boolean crashed;
        try (var discovery = new Lab.Discovery("discovery", record);
                var a = backend("s-1", record);
                var b = backend("s-2", record);
                var c = backend("s-3", record)) {
            for (Lab.Backend backend : List.of(a, b, c)) {
                discovery.set(backend.id, Lab.Discovery.entry(
                        backend.id, backend.server.address(), "cordon", 1, "ready", 0));
            }
            var config = new Lab.Config(discovery.server.address())
                    .profile("escuchar", 300_000, 1_200_000, "idempotent", "all", 5_000_000, 1)
                    .profile("subir", 750_000, 1_500_000, "at_most_once", "all", 5_000_000, 3);
            try (var proxy = new Lab.Proxy(root, record, config)) {
                proxy.awaitReady();
                double start = Lab.nowMs();
                double end = start + TROUBLE_FROM_MS + TROUBLE_MS + 4_000;
                var threads = new ArrayList<Thread>();
                for (int i = 0; i < PROPER_CLIENTS; i++) {
                    int client = i;
                    threads.add(Lab.daemon(() -> properClient(proxy.port, record, client, end)));
                }
                Lab.sleep(TROUBLE_FROM_MS);
                if (trouble) {
                    record.say("disruption: " + STOPPING_CLIENTS + " clients send "
                            + (STOP_IN_HEAD
                                    ? "a head without its end, with " + SHORT_HEADERS + " headers of 5 bytes,"
                                    : SENT_BYTES + " bytes of a body of " + BODY_BYTES)
                            + " and stay");
                    for (int i = 0; i < STOPPING_CLIENTS; i++) {
                        Lab.daemon(() -> stoppingClient(proxy.port, record, start + TROUBLE_FROM_MS + TROUBLE_MS));
                    }
                }
                for (Thread thread : threads) {
                    thread.join();
                }
                crashed = !proxy.process.isAlive();
                record.say(crashed ? "the proxy's process has ended: " + proxy.process.exitValue()
                        : "the proxy's process is alive");
            }
        }
        var byStatus = new TreeMap<Integer, Integer>();
        ENDINGS.forEach(e -> byStatus.merge(e.status(), 1, Integer::sum));
        record.say("requests begun and not finished: " + STOPPED);
        record.say("proper requests by status (0: closed without an answer, -1: no answer " + FURTHER_WAIT_MS
                + " ms after its time, connection open): " + byStatus);
        // A close may have crossed a request that the proxy has not read, so status 0 is not counted.
        return !crashed && ENDINGS.stream().noneMatch(e -> e.status() < 0);
    }

    private static Lab.Backend backend(String id, Lab.Record record) throws IOException {
        return new Lab.Backend(id, record, (backend, conn, request) -> {
            Lab.sleep(20);
            conn.write(Lab.Backend.ok(backend.bodyFor(request)));
            return true;
        });
    }

    /** Sends a request each 100 ms on a connection that it keeps. */
    private static void properClient(int port, Lab.Record record, int client, double end) {
        Lab.Conn conn = null;
        for (int i = 0; Lab.nowMs() < end; i++) {
            try {
                if (conn == null) {
                    conn = Lab.Conn.open(port);
                }
                String id = String.format("c%02d-%04d", client, i);
                byte[] request = Lab.bytes(Lab.head("GET", id, "escuchar", TIMEOUT_MS, 0));
                Lab.Ending ending = Lab.ask(conn, record, id, request, TIMEOUT_MS, FURTHER_WAIT_MS);
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

    /** Begins a request, stops in its body and stays until it gets an error or a close; then does so again. */
    private static void stoppingClient(int port, Lab.Record record, double end) {
        while (Lab.nowMs() < end) {
            try (Lab.Conn conn = Lab.Conn.open(port)) {
                conn.socket.setSoTimeout(10_000);
                int number = STOPPED.incrementAndGet();
                String head = Lab.head("POST", "stop-" + number, "subir", 1_500, BODY_BYTES);
                if (STOP_IN_HEAD) {
                    conn.write(head.substring(0, head.length() - 2) + "a:b\r\n".repeat(SHORT_HEADERS));
                } else {
                    conn.write(head);
                    conn.write(new byte[SENT_BYTES]);
                }
                record.line("client stop-" + number + ": has sent a part of its request");
                Lab.Message answer = conn.read();
                record.line("client stop-" + number + ": got " + (answer == null ? "a close" : answer.start()));
            } catch (IOException e) {
                record.line("client stop: " + e.getMessage());
                Lab.sleep(50);
            }
        }
    }
}
