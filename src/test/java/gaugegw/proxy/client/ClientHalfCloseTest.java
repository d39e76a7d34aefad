package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.ScriptedServer;
import org.junit.jupiter.api.Test;

/** Clients that end their sending alone: they may still read, so each complete request is responded to. */
class ClientHalfCloseTest {
    private static final ProxyFixture.StubLoadBalancer SILENT = (event, actions) -> {};

    /**
     * A client ends its sending while its request is in flight. It may have gone, so no more work is done for it; but
     * it may still read, and is sent a complete response.
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
     * A client sends two requests and ends its sending. The first is failed; the second has not been dispatched, and is
     * rejected in order.
     */
    @Test
    void pipelinedRequestIsRejectedAfterHalfClose() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
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
