package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Fail;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that a client sends before it has the responses to those before. */
class RequestPipeliningTest {
    private static final ProxyFixture.StubLoadBalancer SILENT = (event, actions) -> {};

    /**
     * Each request has one response, in the order of the requests; of two responses by the decision module the first
     * counts.
     */
    @Test
    void respondsOnceAndInOrder() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
                    if (event instanceof RequestArrived a) {
                        actions.accept(new Reject(a.requestId(), 0));
                        actions.accept(new Fail(a.requestId()));
                    }
                });
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.get("r1") + "GET /ready HTTP/1.1\r\n\r\n" + ProxyFixture.get("r3"));
            assertThat(client.read().body()).startsWith("not now");
            assertThat(client.read().body()).startsWith("not ready");
            assertThat(client.read().body()).startsWith("not now");
        }
    }

    /**
     * A client sends hundreds of requests at once. A few are served. The others must not take up memory while they
     * wait, and each is rejected.
     */
    @Test
    @Timeout(30)
    void servesOnlyAFewPipelinedRequests() throws Exception {
        int requests = 400;
        int served = 3;
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            var all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                all.append(ProxyFixture.get("r" + i));
            }
            client.send(all.toString());
            RawConnection attempt = backend.accept();
            attempt.read();
            // From here on all of them have been read.
            proxy.awaitInputHandled();
            backend.respondToAll(ScriptedServer.ok("x"));
            attempt.send(ScriptedServer.response("200 OK", "x", "Connection: close"));
            for (int i = 0; i < served; i++) {
                assertThat(client.read().status()).isEqualTo(200);
            }
            for (int i = served; i < requests; i++) {
                assertThat(client.read().status()).isEqualTo(429);
            }
            assertThat(client.awaitCloseSkippingData()).isTrue();
        }
    }

    /**
     * A malformed request follows one that is being served. Its error must neither overtake nor replace the response.
     */
    @Test
    void malformedRequestIsRejectedAfterTheResponsesBefore() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.get("r1") + "RUBBISH\r\n\r\n" + ProxyFixture.get("r2"));
            RawConnection attempt = backend.accept();
            attempt.read();
            attempt.send(ScriptedServer.ok("x"));
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.awaitClose()).isTrue();
        }
    }

    /**
     * Requests that were read completely follow an invalid one. None of them is dispatched, but each has a response.
     */
    @Test
    @Timeout(30)
    void requestsBehindAnInvalidOneAreRejected() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.connectClient()) {
            client.send(
                    ProxyFixture.get("r1").replace("acme", "nobody") + ProxyFixture.get("r2") + ProxyFixture.get("r3"));
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.read().status()).isEqualTo(429);
            assertThat(client.read().status()).isEqualTo(429);
            assertThat(client.awaitClose()).isTrue();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }

    /**
     * Netty would reject an unsupported expectation at once, and the client would take that for the response that it
     * waits for.
     */
    @Test
    @Timeout(30)
    void unsupportedExpectationIsRejectedInOrder() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            RawConnection attempt = backend.sendAndAcceptAttempt(client, "r1");
            client.send(ProxyFixture.post("r2", "x").replace("Host:", "Expect: a-miracle\r\nHost:"));
            proxy.awaitInputHandled();
            attempt.send(ScriptedServer.ok("x"));
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(client.read().status()).isEqualTo(417);
            assertThat(client.awaitClose()).isTrue();
        }
    }
}
