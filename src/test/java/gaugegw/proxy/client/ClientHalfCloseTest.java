package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.ScriptedServer;
import org.junit.jupiter.api.Test;

/** Clients that shut down only their output: they may still read, so each complete request must get a response. */
class ClientHalfCloseTest {
    private static final ProxyFixture.StubLoadBalancer NO_ACTIONS = (event, actions) -> {};

    /**
     * A client shuts down its output while its request is in flight. The proxy can't tell whether the client has gone
     * or is still reading: it must do no more work for the request, but must send a complete response.
     */
    @Test
    void requestInFlightIsFailedAfterHalfClose() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.getWithLongTimeout("r1"));
            backend.accept().read();
            client.socket.shutdownOutput();
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(client.awaitClose()).isTrue();
            assertThat(proxy.awaitEvent(ClientDisconnected.class).requestId()).isEqualTo("r1");
        }
    }

    /**
     * A client sends two requests and shuts down its output. The first request must fail. The second one has not been
     * dispatched and must be rejected, after the response to the first.
     */
    @Test
    void pipelinedRequestIsRejectedAfterHalfClose() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.getWithLongTimeout("r1") + ProxyFixture.getWithLongTimeout("r2"));
            proxy.awaitEvent(RequestArrived.class);
            client.socket.shutdownOutput();
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(client.awaitClose()).isTrue();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }
}
