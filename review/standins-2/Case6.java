import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Backends turn some requests away. The trouble: the answer that does so comes a second time, some milliseconds late,
 * from a socket with the usual options, so that the system holds the small second write back until the first answer is
 * acknowledged. All requests are of a class that must never run twice.
 */
public final class Case6 {
    private static final int CLIENTS = 3;
    private static final int REQUESTS = 500;
    /** A backend turns away one request in so many. */
    private static final int REQUESTS_PER_REJECTION = 50;
    /** How much later the second answer is written. */
    private static final int LATE_MS = 4;

    private static final String TURNED_AWAY =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

    public static void main(String[] args) throws Exception {
        Lab.run(args, Case6::play);
    }

    private static void play(Lab lab) throws Exception {
        Map<String, List<String>> begunAt = new ConcurrentHashMap<>();
        var arrivals = new AtomicInteger();
        var seconds = new AtomicInteger();
        var discovery = lab.new Discovery();
        for (int i = 1; i <= 3; i++) {
            var backend = lab.new Backend("s-" + i);
            backend.workMs = 5;
            backend.handler = (b, connection, request) -> {
                String id = request.header("X-Request-ID");
                if (arrivals.incrementAndGet() % REQUESTS_PER_REJECTION == 0) {
                    lab.log("%s turns %s away", b.id, id);
                    connection.send(TURNED_AWAY);
                    if (lab.trouble) {
                        Lab.sleep(LATE_MS);
                        connection.send(TURNED_AWAY);
                        seconds.incrementAndGet();
                        lab.log("%s wrote this answer a second time", b.id);
                    }
                    return;
                }
                lab.log("%s runs %s", b.id, id);
                begunAt.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(b.id);
                Lab.answer(b, connection, request);
            };
            discovery.put(backend, "ready");
        }
        int port = Lab.freePort();
        var proxy = lab.new Proxy(port, Lab.config(port, discovery.address(), 1, 0, "pushed", ""));
        proxy.awaitReady();

        var served = new AtomicInteger();
        var notServed = new AtomicInteger();
        var done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Lab.background(() -> {
                try {
                    client(lab, port, "c" + number + "-", served, notServed);
                } finally {
                    done.countDown();
                }
            });
        }
        done.await();
        // What is still on its way to a backend.
        Lab.sleep(500);
        int twice = 0;
        for (Map.Entry<String, List<String>> request : begunAt.entrySet()) {
            if (request.getValue().size() > 1) {
                twice++;
                lab.log("TWICE: %s was run by %s", request.getKey(), request.getValue());
            }
        }
        int expected = CLIENTS * REQUESTS;
        int answered = served.get() + notServed.get();
        lab.finish(
                twice > 0 ? 1 : answered == expected ? 0 : 2,
                "of %d requests that must never run twice %d were run more than once; %d were served, %d refused or failed;"
                        + " %d second answers",
                expected,
                twice,
                served.get(),
                notServed.get(),
                seconds.get());
    }

    /** Sends one request at a time, each with an id of its own. */
    private static void client(Lab lab, int port, String prefix, AtomicInteger served, AtomicInteger notServed)
            throws Exception {
        var connection = Lab.Connection.to(port);
        for (int i = 0; i < REQUESTS; i++) {
            String id = prefix + i;
            connection.send(Lab.post(id, "subir", "a" + i % 40, 1_400, "body of " + id));
            Lab.Message answer = connection.read();
            if (answer == null) {
                lab.log("%s was closed with no answer", id);
                notServed.incrementAndGet();
            } else if (answer.status() == 200) {
                served.incrementAndGet();
            } else {
                notServed.incrementAndGet();
                lab.log("%s was answered %s", id, answer.firstLine());
            }
            if (answer == null || "close".equalsIgnoreCase(answer.header("Connection"))) {
                connection.close();
                connection = Lab.Connection.to(port);
            }
            Lab.sleep(8);
        }
        connection.close();
    }
}
