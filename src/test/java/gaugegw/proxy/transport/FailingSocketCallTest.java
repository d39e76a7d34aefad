package gaugegw.proxy.transport;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.FailingSocketCalls;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.ProxyProcess;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** System calls on sockets that fail for a moment must not end a connection or the request on it. */
class FailingSocketCallTest {
    private static final int REQUESTS = 40;

    /** Guards against a connection that ends without a complete response because a call on its socket fails once. */
    @ParameterizedTest
    @Timeout(60)
    @ValueSource(
            strings = {
                "write/client:ENOBUFS:3",
                "write/client:ENOMEM:5:4",
                "write/client:ETIMEDOUT:3",
                "read/client:ENOBUFS:3",
                "read/client:EINTR:3",
                "read/client:EHOSTUNREACH:5:4",
                "write/other:ENOBUFS:3",
                "write/other:ENETUNREACH:5:4",
                "read/other:ENOBUFS:3",
                "read/other:EINTR:3",
                "read/other:ETIMEDOUT:5:4"
            })
    void everyRequestIsServedOnItsConnectionDespiteFailedCalls(String rules, @TempDir Path folder) throws Exception {
        assertThatEveryRequestIsServed(rules, folder);
    }

    /** As above, for calls that are interrupted or transfer a part only, and for connections that end unaccepted. */
    @ParameterizedTest
    @Timeout(60)
    @ValueSource(
            strings = {
                "write/client:EINTR:2",
                "write/client:SHORT:2",
                "read/client:SHORT:2",
                "accept:ECONNABORTED:2",
                "epoll_wait:EINTR:2"
            })
    void everyRequestIsServedOnItsConnectionDespiteShortCalls(String rules, @TempDir Path folder) throws Exception {
        assertThatEveryRequestIsServed(rules, folder);
    }

    private static void assertThatEveryRequestIsServed(String rules, Path folder) throws Exception {
        var failures = new FailingSocketCalls(folder, rules);
        try (var backend = new ScriptedServer();
                var discovery = new ScriptedServer();
                var proxy = start(folder, discovery, failures)) {
            backend.respondToAll(ScriptedServer.ok("served"));
            discovery.respondToAll(ScriptedServer.ok(ProxyFixture.endpointListJson(
                    42, true, ProxyFixture.endpointJson("s0", backend.address(), "ready"))));
            int port = proxy.awaitPort();
            ScriptedServer.await(() -> isReady(port));
            failures.enable(true);
            try (RawConnection kept = RawConnection.connectTo(port)) {
                for (int i = 0; i < REQUESTS; i++) {
                    assertThat(status(kept, "kept" + i)).isEqualTo(200);
                    try (RawConnection unused = RawConnection.connectTo(port)) {
                        assertThat(status(unused, "unused" + i)).isEqualTo(200);
                    }
                }
            }
        }
    }

    private static ProxyProcess start(Path folder, ScriptedServer discovery, FailingSocketCalls failures)
            throws IOException, InterruptedException {
        String config = ProxyFixture.LONG_TIMEOUTS.apply(ProxyFixture.configText(discovery.address()));
        return ProxyProcess.start(Files.writeString(folder.resolve("config.json"), config), failures.shellPrefix());
    }

    private static boolean isReady(int port) {
        try (RawConnection client = RawConnection.connectTo(port)) {
            RawConnection.Message response =
                    client.send("GET /ready HTTP/1.1\r\n\r\n").read();
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a request that must not be executed twice; returns the status, or 0 if the connection ends without one. */
    private static int status(RawConnection client, String id) throws IOException {
        RawConnection.Message response = client.send(
                        ProxyFixture.post(id, "body").replace("pay", "vote").replace("1900m", "60000m"))
                .read();
        return response == null ? 0 : response.status();
    }
}
