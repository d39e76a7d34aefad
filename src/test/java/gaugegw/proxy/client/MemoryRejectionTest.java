package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.http.HttpLimits;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How requests are rejected when unfinished requests hold as much memory as they may. */
class MemoryRejectionTest {
    private static final ProxyFixture.StubLoadBalancer NO_ACTIONS = (event, actions) -> {};
    private static final String LONGEST_BODY = "x".repeat(HttpLimits.MAX_BODY_BYTES);
    /** With the memory limit of {@link #proxy}, this many of the longest bodies are admitted. */
    private static final int ADMITTED = 24;

    private final List<RawConnection> clients = new ArrayList<>();

    @AfterEach
    void disconnectClients() throws IOException {
        for (RawConnection client : clients) {
            client.close();
        }
    }

    private static ProxyFixture proxy() throws Exception {
        return new ProxyFixture(
                NO_ACTIONS, c -> ProxyFixture.LONG_TIMEOUTS.apply(c).replace("\"memory_mb\":192", "\"memory_mb\":16"));
    }

    private static String post(String id) {
        return ProxyFixture.post(id, LONGEST_BODY).replace("1900m", "60000m");
    }

    private RawConnection send(ProxyFixture proxy, String text) throws IOException {
        RawConnection client = proxy.connectClient();
        clients.add(client);
        return client.send(text);
    }

    /** The request that stopped first is rejected at once, and its client is told when to try again. */
    @Test
    @Timeout(30)
    void rejectsTheRequestThatStoppedFirst() throws Exception {
        try (var proxy = proxy()) {
            String stopped = post("stopped").substring(0, LONGEST_BODY.length());
            send(proxy, stopped);
            proxy.awaitInputHandled();
            for (int i = 0; i < ADMITTED; i++) {
                send(proxy, stopped);
            }
            RawConnection.Message rejection = clients.get(0).read();
            assertThat(rejection.status()).isEqualTo(503);
            assertThat(rejection.header("Retry-After")).isEqualTo("1.000");
            assertThat(clients.get(0).awaitClose()).isTrue();
            send(proxy, post("complete"));
            assertThat(proxy.awaitEvent(RequestArrived.class).requestId()).isEqualTo("complete");
        }
    }

    /** Requests in flight can't be given up, so no further one with a long body is dispatched; short ones are. */
    @Test
    @Timeout(30)
    void dispatchesNoFurtherRequestWhenThoseInFlightHoldTheMemory() throws Exception {
        try (var proxy = proxy()) {
            for (int i = 0; i < ADMITTED; i++) {
                send(proxy, post("inflight" + i));
                assertThat(proxy.awaitEvent(RequestArrived.class).requestId()).isEqualTo("inflight" + i);
            }
            assertThat(send(proxy, post("further")).read().status()).isEqualTo(503);
            send(proxy, ProxyFixture.getWithLongTimeout("short"));
            assertThat(proxy.awaitEvent(RequestArrived.class).requestId()).isEqualTo("short");
            clients.get(0).close();
            proxy.awaitEvent(ClientDisconnected.class);
            send(proxy, post("later"));
            assertThat(proxy.awaitEvent(RequestArrived.class).requestId()).isEqualTo("later");
        }
    }
}
