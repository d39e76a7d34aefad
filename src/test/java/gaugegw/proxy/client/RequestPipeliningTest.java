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

/** Requests that a client sends before it has received the responses to its earlier requests. */
class RequestPipeliningTest {
    private static final ProxyFixture.StubLoadBalancer NO_ACTIONS = (event, actions) -> {};

    /**
     * Each request gets one response, in the order of the requests. If the load balancer decides twice on a request,
     * only the first decision takes effect.
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
     * A client sends hundreds of requests at once. A few of them are served. Each of the others must get its own
     * rejection, and must not be stored until then.
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
            // All requests have now been read.
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
     * A malformed request follows a request in flight. The error must be sent after the response to that request: the
     * client would take an earlier one for that response.
     */
    @Test
    void malformedRequestIsRejectedAfterEarlierResponses() throws Exception {
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
     * An invalid request is followed by complete requests that have already been read. None of them may be dispatched,
     * but each must get a response.
     */
    @Test
    @Timeout(30)
    void requestsAfterAnInvalidOneAreRejected() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
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
     * Netty would reject an unsupported expectation at once, and the client would take this for the response to its
     * earlier request.
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
