package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.CloseIdleConnections;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Reuse of connections to backends. A connection must not be reused after unexpected bytes were received on it, or the
 * next attempt would get the response to another request; nor if the backend may have dropped it, or the attempt would
 * be reset.
 */
class UpstreamConnectionReuseTest {
    private static final String OK_X = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

    /** Waits until a connection may be reused after a response. */
    private static void awaitReuseDelay() throws InterruptedException {
        long startNs = System.nanoTime();
        while (System.nanoTime() - startNs < 20_000_000) {
            Thread.sleep(1);
        }
    }

    /**
     * A backend silently drops idle connections and resets the requests that it receives on them. The proxy must learn
     * after which idle time that happens, and open new connections instead.
     */
    @Test
    void connectionIsNotReusedAfterIdleTimeThatCausesResets() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            ScriptedServer.runInBackground(() -> {
                while (true) {
                    RawConnection connection = backend.accept();
                    ScriptedServer.runInBackground(() -> {
                        connection.read();
                        connection.send(OK_X);
                        connection.read();
                        connection.close();
                    });
                }
            });
            int resets = 0;
            for (int served = 0; served < 2; ) {
                awaitReuseDelay();
                client.send(ProxyFixture.get("r" + resets + "-" + served));
                served = client.read().status() == 200 ? served + 1 : 0;
                resets += served == 0 ? 1 : 0;
                assertThat(resets).isLessThan(20);
            }
        }
    }

    /**
     * A backend sometimes does not respond, and the proxy closes the connection at the timeout of the attempt. If that
     * counted as a reset after idle time, the proxy would no longer reuse idle connections that work.
     */
    @Test
    void timeoutsDoNotCountAsResetsOfIdleConnections() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a) {
                                actions.accept(new StartAttempt(
                                        a.requestId(), "s0", a.requestId().startsWith("hangs") ? 30_000 : 0));
                            } else {
                                ProxyFixture.singleAttemptTo("s0").handle(event, actions);
                            }
                        },
                        backend);
                var client = proxy.connectClient()) {
            for (int i = 0; i < 8; i++) {
                client.send(ProxyFixture.get("r" + i));
                RawConnection attempt = backend.accept();
                attempt.read();
                attempt.send(OK_X);
                assertThat(client.read().status()).isEqualTo(200);
                awaitReuseDelay();
                client.send(ProxyFixture.get("hangs" + i));
                assertThat(attempt.read().header("X-Request-ID")).isEqualTo("hangs" + i);
                assertThat(client.read().status()).isEqualTo(502);
                assertThat(attempt.awaitClose()).isTrue();
            }
        }
    }

    /**
     * More bytes follow a valid response. The response must be served, but the connection must be closed: otherwise the
     * bytes would be taken for the response to the next attempt.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxnoise",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx\r\n\0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny"
            })
    void bytesAfterResponseCloseConnection(String response) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            RawConnection attempt = backend.sendAndAcceptAttempt(client, "r1");
            attempt.send(response);
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(attempt.awaitClose()).isTrue();
        }
    }

    /**
     * Interim responses or a load report that can't be parsed are no reason to close a connection: it must be reused
     * for the next attempt. It must be closed as soon as bytes arrive that no attempt waits for, even if they are less
     * than a line.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + OK_X,
                "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT ?\r\nContent-Length: 1\r\n\r\nx"
            })
    void connectionIsReusedUntilUnexpectedBytesArrive(String response) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            RawConnection attempt = backend.sendAndAcceptAttempt(client, "r1");
            attempt.send(response);
            assertThat(client.read().body()).isEqualTo("x");
            awaitReuseDelay();
            client.send(ProxyFixture.get("r2"));
            assertThat(attempt.read().header("X-Request-ID")).isEqualTo("r2");
            attempt.send(OK_X);
            assertThat(client.read().body()).isEqualTo("x");
            // No attempt waits for a response now, so these bytes belong to no request.
            attempt.send("noise");
            assertThat(attempt.awaitClose()).isTrue();
        }
    }

    /** A faulty backend writes two responses to one request. The second must not be served to the next client. */
    @Test
    void secondResponseIsNotServedToTheNextRequest() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            RawConnection attempt = backend.sendAndAcceptAttempt(client, "r1");
            attempt.send(ScriptedServer.ok("one") + ScriptedServer.ok("two"));
            assertThat(client.read().body()).isEqualTo("one");
            assertThat(attempt.awaitClose()).isTrue();
            RawConnection next = backend.sendAndAcceptAttempt(client, "r2");
            next.send(ScriptedServer.ok("three"));
            assertThat(client.read().body()).isEqualTo("three");
        }
    }

    /**
     * An idle connection must be reused for the next attempt, until the load balancer requests that idle connections be
     * closed.
     */
    @Test
    void reusesIdleConnectionUntilLoadBalancerClosesIt() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a
                                    && a.requestId().equals("r3")) {
                                actions.accept(new CloseIdleConnections("s0"));
                            }
                            ProxyFixture.singleAttemptTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection first = backend.accept();
            for (String next : List.of("r2", "r3")) {
                first.read();
                first.send(ScriptedServer.ok("x"));
                assertThat(client.read().status()).isEqualTo(200);
                awaitReuseDelay();
                client.send(ProxyFixture.get(next));
            }
            assertThat(first.awaitClose()).isTrue();
            RawConnection second = backend.accept();
            assertThat(second.read().header("X-Request-ID")).isEqualTo("r3");
        }
    }

    /**
     * If the backend closes an idle connection while a request is on the way, the request is reset and may have been
     * executed. So the proxy must close an idle connection well before the backend does.
     */
    @Test
    void closesIdleConnectionsBeforeTheBackendDoes() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), 1_024, 500_000, backend);
                var client = proxy.connectClient()) {
            RawConnection attempt = backend.sendAndAcceptAttempt(client, "r1");
            attempt.send(ScriptedServer.ok("x"));
            client.read();
            assertThat(attempt.awaitClose()).isTrue();
        }
    }
}
