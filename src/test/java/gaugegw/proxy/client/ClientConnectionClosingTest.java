package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When the proxy closes the connections of clients, and how. */
class ClientConnectionClosingTest {
    private static final ProxyFixture.StubLoadBalancer NO_ACTIONS = (event, actions) -> {};

    /**
     * A client connects and sends nothing, or sends an incomplete request and then single bytes. Its connection must be
     * closed after a time limit, which the single bytes must not extend. An incomplete request must first get an error
     * response.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api HT", "POST /api HTTP/1.1\r\nContent-Length: 900\r\n\r\nhalf"})
    void closesConnectionWithoutACompleteRequest(String partialRequest) throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var client = proxy.connectClient()) {
            long connectedAtNs = System.nanoTime();
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
            assertThat(System.nanoTime() - connectedAtNs).isGreaterThan(2_000_000_000L);
        }
    }

    private static void sleepBetweenBytes() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A client sends no further request after a response. Its connection must be closed. */
    @Test
    void closesIdleConnection() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var client = proxy.connectClient()) {
            assertThat(client.send("GET /ready HTTP/1.1\r\n\r\n").read().status())
                    .isEqualTo(503);
            assertThat(client.awaitClose()).isTrue();
        }
    }

    /**
     * A client keeps sending after its last response. Reading all of it would take CPU time from the other clients.
     */
    @Test
    void closesConnectionOfAClientThatKeepsSending() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
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
                // Expected: the proxy has closed the connection.
            }
            // Not all of this was read by the proxy: part of it is in the kernel buffers of both sides.
            assertThat(sent).isLessThan(20_000_000);
        }
    }

    /**
     * A request is rejected because its body is too long, while the client is still sending the body. If the connection
     * were reset, the client could lose the error response before it has read it.
     */
    @Test
    void rejectsTooLongBodyWithoutReset() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.post("r1", "x".repeat(70_000)));
            assertThat(client.read().status()).isEqualTo(413);
            assertThat(client.awaitClose()).isTrue();
        }
    }

    /** A request has {@code Connection: close}: the response has it too, and the connection is closed. */
    @Test
    void closesConnectionAtTheClientsRequest() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var client = proxy.connectClient()) {
            RawConnection.Message response = client.send("GET /other HTTP/1.1\r\nConnection: close\r\n\r\n")
                    .read();
            assertThat(response.status()).isEqualTo(404);
            assertThat(response.header("Connection")).isEqualTo("close");
            assertThat(client.awaitClose()).isTrue();
        }
    }
}
