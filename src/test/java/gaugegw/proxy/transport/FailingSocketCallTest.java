package gaugegw.proxy.transport;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.FailingSocketCalls;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ReadyProxyProcess;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** System calls on sockets that fail for a moment must not end a connection or the request on it. */
class FailingSocketCallTest {
    private static final int REQUESTS = 40;
    private static final int LONG_DEADLINE_MS = 60_000;
    private static final int DEADLINE_MS = 300;
    /** A response that comes later than this after the deadline is lost. */
    private static final int LATE_RESPONSE_MS = 500;

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
                "read/client:ENOBUFS:3,epoll_ctl/client:ENOMEM:3",
                "write/other:ENOBUFS:3",
                "write/other:ENETUNREACH:5:4",
                "read/other:ENOBUFS:3",
                "read/other:EINTR:3",
                "read/other:ETIMEDOUT:5:4"
            })
    void everyRequestIsServedOnItsConnectionDespiteFailedCalls(String rules, @TempDir Path folder) throws Exception {
        assertThatEveryRequestIsServed(rules, folder);
    }

    /** Guards against a connection that is never read because its registration with the selector fails. */
    @ParameterizedTest
    @Timeout(60)
    @ValueSource(strings = {"epoll_ctl/client:ENOMEM:1", "epoll_ctl/client:ENOMEM:4", "epoll_ctl/client:ENOSPC:7:2"})
    void newConnectionIsServedInTimeDespiteFailedRegistrations(String rules, @TempDir Path folder) throws Exception {
        assertThatNewConnectionsAreServedInTime(rules, folder);
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

    /** Guards against requests that are rejected, and endpoints in backoff, when a connect fails on this machine. */
    @ParameterizedTest
    @Timeout(60)
    @ValueSource(strings = {"connect:EADDRNOTAVAIL:2", "connect:EADDRNOTAVAIL:4:3", "socket:ENFILE:2", "poll:EINTR:2"})
    void everyRequestIsServedDespiteFailedConnects(String rules, @TempDir Path folder) throws Exception {
        String closing = ScriptedServer.response("200 OK", "served", "Connection: close");
        assertThatEveryRequestIsServed(rules, folder, closing);
    }

    /** Guards against requests that wait in the backlog past their deadline after an accept has failed. */
    @ParameterizedTest
    @Timeout(60)
    @ValueSource(strings = {"accept:ENFILE:2", "accept:EMFILE:3:2", "accept:ENOBUFS:4:6", "accept:ENOMEM:2"})
    void newConnectionIsServedInTimeDespiteFailedAccepts(String rules, @TempDir Path folder) throws Exception {
        assertThatNewConnectionsAreServedInTime(rules, folder);
    }

    private static void assertThatNewConnectionsAreServedInTime(String rules, Path folder) throws Exception {
        try (var proxy = start(folder, rules)) {
            proxy.backend.respondToAll(ScriptedServer.ok("served"));
            for (int i = 0; i < REQUESTS; i++) {
                try (RawConnection client = RawConnection.connectTo(proxy.port)) {
                    client.socket.setSoTimeout(DEADLINE_MS + LATE_RESPONSE_MS);
                    assertThat(status(client, "new" + i, DEADLINE_MS)).isEqualTo(200);
                }
            }
        }
    }

    /** Guards against a new connection to the backend for each request where an option of a socket can't be set. */
    @ParameterizedTest
    @Timeout(60)
    @ValueSource(strings = {"setsockopt:ENOPROTOOPT:1", "setsockopt:ENOMEM:1", "setsockopt:EPERM:1"})
    void connectionsAreReusedDespiteFailedOptions(String rules, @TempDir Path folder) throws Exception {
        var connections = new AtomicInteger();
        try (var proxy = start(folder, rules);
                RawConnection client = RawConnection.connectTo(proxy.port)) {
            proxy.backend.acceptAll(connection -> {
                connections.incrementAndGet();
                while (connection.read() != null) {
                    connection.send(ScriptedServer.ok("served"));
                }
            });
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(status(client, "r" + i, LONG_DEADLINE_MS)).isEqualTo(200);
                // A connection is reused some milliseconds after a response at the earliest.
                Thread.sleep(20);
            }
            assertThat(connections).hasValueLessThan(REQUESTS);
        }
    }

    /** Guards against a connection that broke, and whose error is reported once, as the end of a complete response. */
    @Test
    @Timeout(60)
    void errorBeforeTheEndOfTheStreamIsNoEndOfAResponse(@TempDir Path folder) throws Exception {
        try (var proxy = start(folder, "end/other:ETIMEDOUT:2")) {
            proxy.backend.acceptAll(connection -> {
                connection.read();
                connection.send("HTTP/1.1 200 OK\r\n\r\nserved");
                connection.close();
            });
            try (RawConnection client = RawConnection.connectTo(proxy.port)) {
                assertThat(status(client, "whole", LONG_DEADLINE_MS)).isEqualTo(200);
                assertThat(status(client, "broken", LONG_DEADLINE_MS)).isEqualTo(502);
            }
        }
    }

    private static void assertThatEveryRequestIsServed(String rules, Path folder) throws Exception {
        assertThatEveryRequestIsServed(rules, folder, ScriptedServer.ok("served"));
    }

    private static void assertThatEveryRequestIsServed(String rules, Path folder, String response) throws Exception {
        try (var proxy = start(folder, rules);
                RawConnection kept = RawConnection.connectTo(proxy.port)) {
            proxy.backend.respondToAll(response);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(status(kept, "kept" + i, LONG_DEADLINE_MS)).isEqualTo(200);
                try (RawConnection unused = RawConnection.connectTo(proxy.port)) {
                    assertThat(status(unused, "unused" + i, LONG_DEADLINE_MS)).isEqualTo(200);
                }
            }
        }
    }

    /** Sends a request that must not be executed twice; returns the status, or 0 if the connection ends without one. */
    private static int status(RawConnection client, String id, int deadlineMs) throws IOException {
        RawConnection.Message response = client.send(
                        ProxyFixture.post(id, "body").replace("pay", "vote").replace("1900m", deadlineMs + "m"))
                .read();
        return response == null ? 0 : response.status();
    }

    /** Returns a proxy that is ready and whose calls fail from now on. */
    private static ReadyProxyProcess start(Path folder, String rules) throws IOException, InterruptedException {
        var failures = new FailingSocketCalls(folder, rules);
        var proxy = new ReadyProxyProcess(folder, failures.shellPrefix());
        failures.enable(true);
        return proxy;
    }
}
