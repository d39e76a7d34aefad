package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Forwarding of valid requests to a backend and of responses to the client. */
class RequestForwardingTest {
    /** Request and response are forwarded unchanged, except for the timeout and the hop-by-hop headers. */
    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            BlockingQueue<RawConnection.Message> received = backend.respondToAll(ScriptedServer.response(
                    "200 OK", "an\r\n\r\nswer", "Content-Type: a/b", "Connection: X-Hop", "X-Hop: 1"));
            RawConnection.Message response =
                    client.send(ProxyFixture.post("r1", "bo\r\n\0dy")).read();
            RawConnection.Message request = ScriptedServer.awaitNext(received);
            assertThat(request.firstLine()).isEqualTo("POST /api?k=u%201&x HTTP/1.1");
            assertThat(request.body()).isEqualTo("bo\r\n\0dy");
            assertThat(request.header("X-Request-ID")).isEqualTo("r1");
            assertThat(request.header("Idempotency-Key")).isEqualTo("5c0f");
            assertThat(request.header("X-Timeout")).matches("1[0-9]{6}u");
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("an\r\n\r\nswer");
            assertThat(response.header("Content-Type")).isEqualTo("a/b");
            assertThat(response.header("X-Hop")).isNull();
            RequestArrived arrival = proxy.awaitEvent(RequestArrived.class);
            assertThat(arrival.requestClass()).isEqualTo("pay");
            assertThat(arrival.tenant()).isEqualTo("acme");
            assertThat(arrival.affinityKey()).isEqualTo("u 1");
            assertThat(arrival.retry()).isFalse();
            assertThat(arrival.timeoutUs()).isPositive().isLessThan(1_900_000);
            assertThat(client.send(ProxyFixture.get("r2")).read().status()).isEqualTo(200);
        }
    }

    /** Bytes outside ASCII in header values and in the body must not be encoded once more on the way to the backend. */
    @Test
    void forwardsBytesOutsideAsciiUnchanged() throws Exception {
        String bytes =
                IntStream.rangeClosed(0x80, 0xff).mapToObj(Character::toString).collect(Collectors.joining());
        // Next line and no-break space, at the ends of the value: they are not white space in HTTP.
        String id = "\u0085" + bytes + "\u00a0";
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            BlockingQueue<RawConnection.Message> received = backend.respondToAll(ScriptedServer.ok(bytes));
            String request = ProxyFixture.post(id, bytes).replace("5c0f", bytes);
            assertThat(client.send(request).read().body()).isEqualTo(bytes);
            RawConnection.Message forwarded = ScriptedServer.awaitNext(received);
            assertThat(forwarded.header("X-Request-ID")).isEqualTo(id);
            assertThat(forwarded.header("Idempotency-Key")).isEqualTo(bytes);
            assertThat(forwarded.body()).isEqualTo(bytes);
        }
    }

    /**
     * The settings name a class and a tenant with characters outside ASCII, and a client names them in UTF-8. Its requests
     * were rejected, because the bytes of its headers were compared as ISO-8859-1.
     */
    @Test
    void recognizesNamesOutsideAscii() throws Exception {
        String requestClass = "se\u00f1al";
        String tenant = "caf\u00e9 \u6771\u4eac";
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        ProxyFixture.singleAttemptTo("s0"),
                        config -> config.replace("\"read\"", '"' + requestClass + '"')
                                .replace("\"acme\"", '"' + tenant + '"'),
                        backend);
                var client = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok("x"));
            String request = ProxyFixture.get("r1")
                    .replace("X-Priority-Class: read", "X-Priority-Class: " + bytesOfUtf8(requestClass))
                    .replace("acme", bytesOfUtf8(tenant));
            assertThat(client.send(request).read().status()).isEqualTo(200);
            RequestArrived arrival = proxy.awaitEvent(RequestArrived.class);
            assertThat(arrival.requestClass()).isEqualTo(requestClass);
            assertThat(arrival.tenant()).isEqualTo(tenant);
        }
    }

    /** Returns the bytes of a text in UTF-8, as one character per byte. */
    private static String bytesOfUtf8(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    @Test
    void forwardsBodiesOfTheMaximumSize() throws Exception {
        String body = "0123456789abcdef".repeat(4_096);
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            BlockingQueue<RawConnection.Message> received = backend.respondToAll(ScriptedServer.ok(body));
            assertThat(client.send(ProxyFixture.post("r1", body)).read().body()).isEqualTo(body);
            assertThat(ScriptedServer.awaitNext(received).body()).isEqualTo(body);
        }
    }

    /** A rejection with a retry delay has a {@code Retry-After} header in seconds; one without a delay has none. */
    @Test
    void rejectionCarriesRetryAfter() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
                    if (event instanceof RequestArrived a) {
                        actions.accept(new Reject(a.requestId(), a.requestId().equals("r1") ? 250_000 : 0));
                    }
                });
                var client = proxy.connectClient()) {
            RawConnection.Message response = client.send(ProxyFixture.get("r1")).read();
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.header("Retry-After")).isEqualTo("0.250");
            response = client.send(ProxyFixture.get("r2")).read();
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.header("Retry-After")).isNull();
        }
    }

    /**
     * The event loop is delayed while a received request waits to be read. The client's timeout started when it sent
     * the request: if the proxy counted from the read, the response could arrive after the client has given up.
     */
    @Test
    void timeoutRunsWhileTheEventLoopIsDelayed() throws Exception {
        var release = new CountDownLatch(1);
        try (var proxy = new ProxyFixture((event, actions) -> {
                    if (event instanceof RequestArrived a && a.requestId().equals("r1")) {
                        ScriptedServer.await(release);
                    }
                });
                var delayingClient = proxy.connectClient();
                var delayedClient = proxy.connectClient()) {
            delayedClient.send("GET /ready HTTP/1.1\r\n\r\n").read();
            delayingClient.send(ProxyFixture.get("r1"));
            proxy.awaitEvent(RequestArrived.class);
            delayedClient.send(ProxyFixture.get("r2"));
            long sentAtNs = System.nanoTime();
            while (System.nanoTime() - sentAtNs < 400_000_000) {
                Thread.sleep(10);
            }
            release.countDown();
            assertThat(proxy.awaitEvent(RequestArrived.class).timeoutUs()).isLessThan(1_500_000);
        }
    }
}
