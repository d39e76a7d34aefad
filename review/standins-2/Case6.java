import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend sends a second answer some milliseconds after the first. Its socket has the usual options, so its system
 * holds the small second write back until the first answer is acknowledged.
 */
public final class Case6 {
    private static final int CLIENTS = 3;
    private static final int REQUESTS = 300;
    /** One answer in so many is followed by a second one. */
    private static final int ANSWERS_PER_SECOND_ANSWER = 100;
    /** How much later the second answer is written. */
    private static final int LATE_MS = 4;

    public static void main(String[] args) throws Exception {
        Lab.run(args, Case6::play);
    }

    private static void play(Lab lab) throws Exception {
        var answers = new AtomicInteger();
        var seconds = new AtomicInteger();
        var discovery = lab.new Discovery();
        for (int i = 1; i <= 3; i++) {
            var backend = lab.new Backend("s-" + i);
            backend.workMs = 5;
            backend.handler = (b, connection, request) -> {
                Lab.answer(b, connection, request);
                if (lab.trouble && answers.incrementAndGet() % ANSWERS_PER_SECOND_ANSWER == 0) {
                    Lab.sleep(LATE_MS);
                    String id = request.header("X-Request-ID");
                    connection.send(Lab.ok("answer to " + id));
                    seconds.incrementAndGet();
                    lab.log("%s wrote a second answer to %s", b.id, id);
                }
            };
            discovery.put(backend, "ready");
        }
        int port = Lab.freePort();
        var proxy = lab.new Proxy(port, Lab.config(port, discovery.address(), 1, 0, "pushed", ""));
        proxy.awaitReady();

        var foreign = new AtomicInteger();
        var served = new AtomicInteger();
        var notServed = new AtomicInteger();
        var done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Lab.background(() -> {
                try {
                    client(lab, port, "c" + number + "-", foreign, served, notServed);
                } finally {
                    done.countDown();
                }
            });
        }
        done.await();
        int expected = CLIENTS * REQUESTS;
        int answered = foreign.get() + served.get() + notServed.get();
        String result = "of %d requests %d got the answer to another request, %d their own, %d were refused or failed;"
                + " %d second answers";
        int status = foreign.get() > 0 ? 1 : answered == expected ? 0 : 2;
        lab.finish(status, result, expected, foreign.get(), served.get(), notServed.get(), seconds.get());
    }

    /** Sends one request at a time and compares the body of each answer with its request. */
    private static void client(
            Lab lab, int port, String prefix, AtomicInteger foreign, AtomicInteger served, AtomicInteger notServed)
            throws Exception {
        var connection = Lab.Connection.to(port);
        for (int i = 0; i < REQUESTS; i++) {
            String id = prefix + i;
            boolean unsafe = i % 2 == 0;
            connection.send(
                    unsafe ? Lab.post(id, "subir", "a" + i % 40, 1_400, "body of " + id)
                            : Lab.get(id, "escuchar", "a" + i % 40, 1_100));
            Lab.Message answer = connection.read();
            if (answer == null) {
                // The proxy has closed the connection unread; that is allowed, and the request is sent once more.
                connection = Lab.Connection.to(port);
                i--;
            } else if (answer.status() != 200) {
                notServed.incrementAndGet();
                lab.log("%s was answered %s", id, answer.firstLine());
            } else if (answer.body().equals("answer to " + id)) {
                served.incrementAndGet();
            } else {
                foreign.incrementAndGet();
                lab.log("FOREIGN: the client of %s (%s) got: %s", id, unsafe ? "subir" : "escuchar", answer.body());
            }
            if (answer != null && "close".equalsIgnoreCase(answer.header("Connection"))) {
                connection.close();
                connection = Lab.Connection.to(port);
            }
            Lab.sleep(8);
        }
        connection.close();
    }
}
