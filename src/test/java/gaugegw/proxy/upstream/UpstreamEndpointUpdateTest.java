package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.FullBacklog;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import org.junit.jupiter.api.Test;

/** Effects of an endpoint list update on the attempts and connections of an endpoint. */
class UpstreamEndpointUpdateTest {
    /**
     * An endpoint begins to drain while an attempt is still waiting for its connection. No attempt may begin on an
     * endpoint that has been draining for longer than the grace period, so the attempt must be aborted before its
     * request is sent.
     */
    @Test
    void drainingAbortsAttemptThatIsStillConnecting() throws Exception {
        try (var full = new FullBacklog();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptWithWatch("s1"), ProxyFixture.LONG_TIMEOUTS);
                var client = proxy.connectClient()) {
            RawConnection watch = proxy.answerWatchCall(ProxyFixture.endpointJson("s1", full.address(), "ready"));
            client.send(ProxyFixture.get("r1"));
            proxy.awaitEvent(RequestArrived.class);
            watch.send(ScriptedServer.ok(ProxyFixture.endpointListJson(
                    43, false, ProxyFixture.endpointJson("s1", full.address(), "draining"))));
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /**
     * The address of a backend may change while its id stays the same. If the connections to the old address were kept,
     * requests would be sent to a server that is no longer this backend.
     */
    @Test
    void requestsGoToNewAddressOnlyAfterAddressChange() throws Exception {
        try (var oldServer = new ScriptedServer();
                var newServer = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptWithWatch("s0"), 1_024, 60_000_000, oldServer);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection attempt = oldServer.accept();
            attempt.read();
            attempt.send(ScriptedServer.ok("old"));
            assertThat(client.read().body()).isEqualTo("old");
            RawConnection watch = proxy.discovery.accept();
            watch.read();
            watch.send(ScriptedServer.ok(ProxyFixture.endpointListJson(
                    42, false, ProxyFixture.endpointJson("s0", newServer.address(), "ready"))));
            assertThat(attempt.awaitClose()).isTrue();
            newServer.respondToAll(ScriptedServer.ok("new"));
            assertThat(client.send(ProxyFixture.get("r2")).read().body()).isEqualTo("new");
        }
    }
}
