package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** A request that is not idempotent must not be executed twice because its id comes again. */
class RepeatedRequestIdTest {
    private static final String REJECTION =
            ScriptedServer.response("503 Service Unavailable", "full", "X-Not-Processed: 1");

    /** Guards against a second execution when an id comes again after its client has disconnected. */
    @Test
    void idOfARequestWhoseClientLeftIsNotExecutedAgain() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), ProxyFixture.LONG_TIMEOUTS, backend)) {
            try (RawConnection client = proxy.connectClient()) {
                client.send(vote("v1"));
                RawConnection attempt = backend.accept();
                attempt.read();
                client.socket.close();
                proxy.awaitEvent(ClientDisconnected.class);
                attempt.send(ScriptedServer.ok("executed"));
                proxy.awaitEvent(AttemptEnded.class);
            }
            assertThat(status(proxy, "v1")).isEqualTo(409);
            assertThat(proxy.startedAttempts).hasSize(1);
        }
    }

    @Test
    void idOfAServedRequestIsNotExecutedAgain() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), ProxyFixture.LONG_TIMEOUTS, backend)) {
            backend.respondToAll(ScriptedServer.ok("executed"));
            assertThat(status(proxy, "v1")).isEqualTo(200);
            assertThat(status(proxy, "v1")).isEqualTo(409);
            assertThat(status(proxy, "v2")).isEqualTo(200);
        }
    }

    /** A request that no backend executed may come again under the same id. */
    @Test
    void idOfARejectedRequestMayComeAgain() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), ProxyFixture.LONG_TIMEOUTS, backend)) {
            backend.respondToAll(REJECTION);
            assertThat(status(proxy, "v1")).isEqualTo(502);
            assertThat(status(proxy, "v1")).isEqualTo(502);
            assertThat(proxy.startedAttempts).hasSize(2);
        }
    }

    /** An idempotent request may be executed again, whatever its id. */
    @Test
    void idOfAnIdempotentRequestMayComeAgain() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), ProxyFixture.LONG_TIMEOUTS, backend)) {
            backend.respondToAll(ScriptedServer.ok("executed"));
            for (int i = 0; i < 2; i++) {
                try (RawConnection client = proxy.connectClient()) {
                    assertThat(client.send(ProxyFixture.getWithLongTimeout("g1"))
                                    .read()
                                    .status())
                            .isEqualTo(200);
                }
            }
        }
    }

    private static String vote(String id) {
        return ProxyFixture.post(id, "body").replace("pay", "vote").replace("1900m", "60000m");
    }

    /** Sends a request that is not idempotent on a new connection; returns the status of its response. */
    private static int status(ProxyFixture proxy, String id) throws IOException {
        try (RawConnection client = proxy.connectClient()) {
            return client.send(vote(id)).read().status();
        }
    }
}
