package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Fail;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The clients' side on loopback sockets. */
class FrontendTest {
    private static final ProxyFixture.Module SILENT = (event, actions) -> {};

    @Test
    void passesRequestAndAnswerOnUnchanged() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            BlockingQueue<RawConnection.Message> seen = backend.always(ScriptedServer.answer(
                    "200 OK", "an\r\n\r\nswer", "Content-Type: a/b", "Connection: X-Hop", "X-Hop: 1"));
            RawConnection.Message answer =
                    client.send(ProxyFixture.post("r1", "bo\r\n\0dy")).read();
            RawConnection.Message request = ScriptedServer.next(seen);
            assertThat(request.first()).isEqualTo("POST /api?k=u%201&x HTTP/1.1");
            assertThat(request.body()).isEqualTo("bo\r\n\0dy");
            assertThat(request.header("X-Request-ID")).isEqualTo("r1");
            assertThat(request.header("Idempotency-Key")).isEqualTo("5c0f");
            assertThat(request.header("X-Timeout")).matches("1[0-9]{6}u");
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.body()).isEqualTo("an\r\n\r\nswer");
            assertThat(answer.header("Content-Type")).isEqualTo("a/b");
            assertThat(answer.header("X-Hop")).isNull();
            RequestArrived arrival = proxy.next(RequestArrived.class);
            assertThat(arrival.requestClass()).isEqualTo("pay");
            assertThat(arrival.tenant()).isEqualTo("acme");
            assertThat(arrival.key()).isEqualTo("u 1");
            assertThat(arrival.retry()).isFalse();
            assertThat(arrival.timeoutUs()).isPositive().isLessThan(1_900_000);
            assertThat(client.send(ProxyFixture.get("r2")).read().status()).isEqualTo(200);
        }
    }

    /** What waited while the proxy was held up is read to its end first: a client that has gone costs no attempt. */
    @Test
    void aClientThatHasGoneBeforeItsRequestIsReadIsPassedOver() throws Exception {
        var held = new CountDownLatch(1);
        ProxyFixture.Module module = (event, actions) -> {
            if (event instanceof RequestArrived a && a.requestId().equals("first")) {
                ScriptedServer.await(held);
            }
            if (event instanceof RequestArrived a) {
                actions.accept(new Reject(a.requestId(), 0));
            }
        };
        try (var proxy = new ProxyFixture(module);
                var first = proxy.client()) {
            first.send(ProxyFixture.get("first"));
            proxy.next(RequestArrived.class);
            for (int i = 0; i < 5; i++) {
                try (var gone = proxy.client()) {
                    gone.send(ProxyFixture.get("gone" + i));
                }
            }
            try (var late = proxy.client()) {
                late.send(ProxyFixture.get("late"));
                held.countDown();
                assertThat(late.read().status()).isEqualTo(503);
            }
            assertThat(proxy.next(RequestArrived.class).requestId()).isEqualTo("late");
        }
    }

    /** Whatever is wrong with a request, it costs neither a backend nor the module anything. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "X-Priority-Class: read|X-Priority-Class: write|400",
                "X-Priority-Class: read|X-Other: read|400",
                "X-Priority-Class: read|X-Priority-Class: pay|405",
                "X-Request-ID: r1|X-Other: r1|400",
                "X-Tenant-Id: acme|X-Tenant-Id: nobody|400",
                "X-Tenant-Id: acme|X-Other: acme|400",
                "X-Timeout: 1900m|X-Timeout: soon|400",
                "X-Timeout: 1900m|X-Timeout: 0m|400",
                "X-Timeout: 1900m|X-Timeout: -5m|400",
                "X-Timeout: 1900m|X-Timeout: 123456789m|400",
                "X-Timeout: 1900m|X-Other: 1900m|400",
                "GET /api?k=u1|GET /apis|404",
                "GET /api?k=u1|GET /api?k=%zz|400",
                "GET /api?k=u1|PUT /api|405",
                "GET /api?k=u1 HTTP/1.1|NONSENSE|400"
            })
    void turnsBadRequestsAway(String good, String bad, int status) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            assertThat(client.send(ProxyFixture.get("r1").replace(good, bad))
                            .read()
                            .status())
                    .isEqualTo(status);
            // Kept, the connection would bring the same again as fast as it is answered.
            assertThat(client.ended()).isTrue();
            backend.always(ScriptedServer.ok("x"));
            assertThat(proxy.client().send(ProxyFixture.get("good")).read().status())
                    .isEqualTo(200);
            assertThat(proxy.next(RequestArrived.class).requestId()).isEqualTo("good");
        }
    }

    /** Two readers of such a request may disagree on where it ends, and what one takes for its body may be another. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 40\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 3",
                "Content-Length: 3\r\nContent-Length: 4",
                "Content-Length: 3\r\nContent-Length: 3",
                "Content-Length: -3",
                "Content-Length: three",
                "Content-Length: +3",
                "Content-Length: 3, 3",
                "Content-Length: 99999999999999999999",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding : chunked",
                "a line with no colon",
                "nocolon"
            })
    void aRequestWhoseEndIsInDoubtIsNotPassedOn(String lengths) throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            String head = ProxyFixture.post("r1", "").replace("Content-Length: 0", lengths);
            assertThat(client.send(head + "0\r\n\r\n" + ProxyFixture.get("hidden"))
                            .read()
                            .status())
                    .isBetween(400, 499);
            assertThat(client.ended()).isTrue();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }

    @Test
    void chunksAreNoneOfHttp10() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            client.send(ProxyFixture.post("r1", "")
                            .replace("HTTP/1.1", "HTTP/1.0")
                            .replace("Content-Length: 0", "Transfer-Encoding: chunked")
                    + "0\r\n\r\n");
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.ended()).isTrue();
        }
    }

    /** A connection is not kept for longer than it is of use, and a byte now and then buys no time. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api HT", "POST /api HTTP/1.1\r\nContent-Length: 900\r\n\r\nhalf"})
    void aRequestThatDoesNotComeIsNotWaitedFor(String part) throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            long connected = System.nanoTime();
            client.send(part);
            if (!part.isEmpty()) {
                ScriptedServer.background(() -> {
                    for (int i = 0; i < 30; i++) {
                        trickle();
                        client.send("x");
                    }
                });
                assertThat(client.read().status()).isEqualTo(408);
            }
            assertThat(client.endedQuietly()).isTrue();
            assertThat(System.nanoTime() - connected).isGreaterThan(2_000_000_000L);
        }
    }

    private static void trickle() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void anIdleConnectionIsClosed() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            assertThat(client.send("GET /ready HTTP/1.1\r\n\r\n").read().status())
                    .isEqualTo(503);
            assertThat(client.ended()).isTrue();
        }
    }

    /** Of many requests at once a few are served; the rest costs no memory, and each is told that it has not been begun. */
    @Test
    @Timeout(30)
    void readsOnlyAFewRequestsAhead() throws Exception {
        int requests = 400;
        int served = 3;
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            var all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                all.append(ProxyFixture.get("r" + i));
            }
            client.send(all.toString());
            RawConnection attempt = backend.accept();
            attempt.read();
            // All of them have been read then.
            proxy.settle();
            backend.always(ScriptedServer.ok("x"));
            attempt.send(ScriptedServer.answer("200 OK", "x", "Connection: close"));
            for (int i = 0; i < served; i++) {
                assertThat(client.read().status()).isEqualTo(200);
            }
            for (int i = served; i < requests; i++) {
                assertThat(client.read().status()).isEqualTo(429);
            }
            assertThat(client.endedQuietly()).isTrue();
        }
    }

    /** A client that goes on sending after its last answer is cut off: it costs neither memory nor the CPU of others. */
    @Test
    void aBodyWithoutEndIsCutOff() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            client.send(ProxyFixture.post("r1", "").replace("Content-Length: 0", "Content-Length: 60000000"));
            assertThat(client.read().status()).isEqualTo(413);
            String more = "x".repeat(65_536);
            long sent = 0;
            try {
                while (sent < 60_000_000) {
                    client.send(more);
                    sent += more.length();
                }
            } catch (IOException e) {
                // as it should be
            }
            // What the kernel holds for both sides may have been written.
            assertThat(sent).isLessThan(20_000_000);
        }
    }

    @Test
    void aPathThatIsNoSingleLineIsNotPassedOn() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend)) {
            for (String bad : List.of("/api?k=a\rb", "/api?k=a\0b", "/api?k=a\u007fb")) {
                try (var client = proxy.client()) {
                    assertThat(client.send(ProxyFixture.get("r1").replace("/api?k=u1", bad))
                                    .read()
                                    .status())
                            .isEqualTo(400);
                }
            }
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }

    @Test
    void passesTheLongestBodies() throws Exception {
        String body = "0123456789abcdef".repeat(4_096);
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            BlockingQueue<RawConnection.Message> seen = backend.always(ScriptedServer.ok(body));
            assertThat(client.send(ProxyFixture.post("r1", body)).read().body()).isEqualTo(body);
            assertThat(ScriptedServer.next(seen).body()).isEqualTo(body);
        }
    }

    @Test
    void aKeyedRequestNeedsItsKey() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            assertThat(client.send(ProxyFixture.post("r1", "x").replace("Idempotency-Key", "X-Other"))
                            .read()
                            .status())
                    .isEqualTo(400);
        }
    }

    /** The client must read why it was turned away, even while it is still sending: no reset may overtake the answer. */
    @Test
    void aBodyTooLongIsToldSo() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            client.send(ProxyFixture.post("r1", "x".repeat(70_000)));
            assertThat(client.read().status()).isEqualTo(413);
            assertThat(client.ended()).isTrue();
        }
    }

    /** Rule 1 counts from when the client sent: while the proxy is held up, what waits to be read grows old. */
    @Test
    void patienceRunsOnWhileTheProxyIsHeldUp() throws Exception {
        var goOn = new CountDownLatch(1);
        try (var proxy = new ProxyFixture((event, actions) -> {
                    if (event instanceof RequestArrived a && a.requestId().equals("r1")) {
                        ScriptedServer.await(goOn);
                    }
                });
                var one = proxy.client();
                var two = proxy.client()) {
            two.send("GET /ready HTTP/1.1\r\n\r\n").read();
            one.send(ProxyFixture.get("r1"));
            proxy.next(RequestArrived.class);
            two.send(ProxyFixture.get("r2"));
            long sent = System.nanoTime();
            while (System.nanoTime() - sent < 400_000_000) {
                Thread.sleep(10);
            }
            goOn.countDown();
            assertThat(proxy.next(RequestArrived.class).timeoutUs()).isLessThan(1_500_000);
        }
    }

    /** What comes behind a request that is being served must neither overtake its answer nor cost it. */
    @Test
    void rubbishBehindARequestIsAnsweredAfterIt() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1") + "RUBBISH\r\n\r\n" + ProxyFixture.get("r2"));
            RawConnection attempt = backend.accept();
            attempt.read();
            attempt.send(ScriptedServer.ok("x"));
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.ended()).isTrue();
        }
    }

    /** Nothing is taken behind a request that is turned away, but each that was read whole is told so. */
    @Test
    @Timeout(30)
    void whatComesBehindABadRequestIsAnsweredToo() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            client.send(
                    ProxyFixture.get("r1").replace("acme", "nobody") + ProxyFixture.get("r2") + ProxyFixture.get("r3"));
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.read().status()).isEqualTo(429);
            assertThat(client.read().status()).isEqualTo(429);
            assertThat(client.ended()).isTrue();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }

    /** Netty would turn it away at once, and the client would take that for the answer that it waits for. */
    @Test
    @Timeout(30)
    void anExpectationThatIsNotMetIsAnsweredInItsTurn() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            RawConnection attempt = backend.attemptFor(client, "r1");
            client.send(ProxyFixture.post("r2", "x").replace("Host:", "Expect: a-miracle\r\nHost:"));
            proxy.settle();
            attempt.send(ScriptedServer.ok("x"));
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(client.read().status()).isEqualTo(417);
            assertThat(client.ended()).isTrue();
        }
    }

    @Test
    void tellsTheModuleThatAClientIsGone() throws Exception {
        try (var proxy = new ProxyFixture(SILENT)) {
            try (var client = proxy.client()) {
                client.send(ProxyFixture.get("r1"));
                assertThat(proxy.next(RequestArrived.class).requestId()).isEqualTo("r1");
            }
            assertThat(proxy.next(ClientDisconnected.class).requestId()).isEqualTo("r1");
        }
    }

    @Test
    void aRefusalTellsWhenToComeBack() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
                    if (event instanceof RequestArrived a) {
                        actions.accept(new Reject(a.requestId(), a.requestId().equals("r1") ? 250_000 : 0));
                    }
                });
                var client = proxy.client()) {
            RawConnection.Message answer = client.send(ProxyFixture.get("r1")).read();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("Retry-After")).isEqualTo("0.250");
            answer = client.send(ProxyFixture.get("r2")).read();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("Retry-After")).isNull();
        }
    }

    /** One answer for each request, in their order, also where a client sends ahead; and only the first answer counts. */
    @Test
    void answersInOrderAndOnce() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
                    if (event instanceof RequestArrived a) {
                        actions.accept(new Reject(a.requestId(), 0));
                        actions.accept(new Fail(a.requestId()));
                    }
                });
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1") + "GET /ready HTTP/1.1\r\n\r\n" + ProxyFixture.get("r3"));
            assertThat(client.read().body()).startsWith("not now");
            assertThat(client.read().body()).startsWith("not ready");
            assertThat(client.read().body()).startsWith("not now");
        }
    }

    @Test
    void anIdThatIsBeingServedIsNotTakenTwice() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var one = proxy.client();
                var two = proxy.client()) {
            one.send(ProxyFixture.get("r1"));
            proxy.next(RequestArrived.class);
            assertThat(two.send(ProxyFixture.get("r1")).read().status()).isEqualTo(409);
        }
    }

    @Test
    void closesWhereTheClientAsksForIt() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            RawConnection.Message answer = client.send("GET /other HTTP/1.1\r\nConnection: close\r\n\r\n")
                    .read();
            assertThat(answer.status()).isEqualTo(404);
            assertThat(answer.header("Connection")).isEqualTo("close");
            assertThat(client.ended()).isTrue();
        }
    }
}
