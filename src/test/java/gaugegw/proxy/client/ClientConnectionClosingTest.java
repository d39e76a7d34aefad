package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections of clients that the proxy closes, and when. */
class ClientConnectionClosingTest {
    private static final ProxyFixture.StubLoadBalancer SILENT = (event, actions) -> {};

    /**
     * A client connects and sends no complete request, or only a byte now and then. Its connection is closed after a
     * time limit that the single bytes do not renew.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api HT", "POST /api HTTP/1.1\r\nContent-Length: 900\r\n\r\nhalf"})
    void closesConnectionWithoutACompleteRequest(String partialRequest) throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.connectClient()) {
            long connectedNs = System.nanoTime();
            client.send(partialRequest);
            if (!partialRequest.isEmpty()) {
                ScriptedServer.runInBackground(() -> {
                    for (int i = 0; i < 30; i++) {
                        sleepBetweenBytes();
                        client.send("x");
                    }
                });
                assertThat(client.read().status()).isEqualTo(408);
            }
            assertThat(client.awaitCloseSkippingData()).isTrue();
            assertThat(System.nanoTime() - connectedNs).isGreaterThan(2_000_000_000L);
        }
    }

    private static void sleepBetweenBytes() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A connection on which no further request comes is closed. */
    @Test
    void closesIdleConnection() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.connectClient()) {
            assertThat(client.send("GET /ready HTTP/1.1\r\n\r\n").read().status())
                    .isEqualTo(503);
            assertThat(client.awaitClose()).isTrue();
        }
    }

    /**
     * A client goes on sending after its last response. Reading all of it would take the CPU from the other clients.
     */
    @Test
    void closesConnectionThatSendsWithoutEnd() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.post("r1", "").replace("Content-Length: 0", "Content-Length: 60000000"));
            assertThat(client.read().status()).isEqualTo(413);
            String chunk = "x".repeat(65_536);
            long sent = 0;
            try {
                while (sent < 60_000_000) {
                    client.send(chunk);
                    sent += chunk.length();
                }
            } catch (IOException e) {
                // expected: the proxy has closed the connection
            }
            // The kernel's buffers on both sides may have taken a part.
            assertThat(sent).isLessThan(20_000_000);
        }
    }

    /**
     * A client still sends a body that is too long when it is rejected. If the connection were reset, the client could
     * lose the error before it has read it.
     */
    @Test
    void rejectsBodyOverTheLimitWithoutReset() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.post("r1", "x".repeat(70_000)));
            assertThat(client.read().status()).isEqualTo(413);
            assertThat(client.awaitClose()).isTrue();
        }
    }

    /** A client sends {@code Connection: close}: the response carries it too, and the connection ends. */
    @Test
    void closesConnectionAtTheClientsRequest() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.connectClient()) {
            RawConnection.Message response = client.send("GET /other HTTP/1.1\r\nConnection: close\r\n\r\n")
                    .read();
            assertThat(response.status()).isEqualTo(404);
            assertThat(response.header("Connection")).isEqualTo("close");
            assertThat(client.awaitClose()).isTrue();
        }
    }
}
