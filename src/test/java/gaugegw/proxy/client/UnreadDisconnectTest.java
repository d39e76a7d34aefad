package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.FullBacklog;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that disconnect while the event loop is busy: the kernel has received their close, but the proxy has not read
 * it when an attempt is about to begin. No attempt may begin for such a client.
 */
class UnreadDisconnectTest {
    private static final ProxyFixture.StubLoadBalancer NO_ACTIONS = (event, actions) -> {};

    /** Blocks the event loop until a latch is released. */
    private static void awaitRelease(CountDownLatch latch) {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Disconnects a client, and waits until the proxy's last read of the connection is longer ago than the minimum
     * interval between two reads, so that the proxy reads the connection again before an attempt.
     *
     * @param kind {@code close}, {@code reset}, or {@code end} to shut down only the output
     */
    private static void disconnectUnread(RawConnection client, String kind) throws Exception {
        if (kind.equals("end")) {
            client.socket.shutdownOutput();
        } else {
            ClientDisconnectTest.disconnect(client, kind.equals("reset"));
        }
        long startedAtNs = System.nanoTime();
        ScriptedServer.await(() -> System.nanoTime() - startedAtNs > 40_000_000);
    }

    /**
     * A client disconnects while the event loop is blocked. The load balancer then reacts to the failed attempt of
     * {@code r1} with the first attempt of {@code r2}, which was queued, or with a retry of {@code r1}. This attempt
     * must not begin if its client is the one that has disconnected.
     */
    @ParameterizedTest
    @CsvSource({"r2,close", "r2,reset", "r2,end", "r1,close", "r1,reset", "r1,end"})
    @Timeout(30)
    void noAttemptBeginsWhileACloseIsUnread(String id, String kind) throws Exception {
        var release = new CountDownLatch(1);
        ProxyFixture.StubLoadBalancer loadBalancer = (event, actions) -> {
            if (event instanceof RequestArrived a && !a.requestId().equals("r2")) {
                actions.accept(new StartAttempt(a.requestId(), "s0", 0));
            } else if (event instanceof AttemptEnded e && e.outcome() == AttemptOutcome.ERROR) {
                awaitRelease(release);
                actions.accept(new StartAttempt(id, "s0", 0));
            }
        };
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(loadBalancer, ProxyFixture.LONG_TIMEOUTS, backend);
                var first = proxy.connectClient().send(ProxyFixture.getWithLongTimeout("r1"));
                var queued = proxy.connectClient()) {
            RawConnection attempt = backend.accept();
            attempt.read();
            queued.send(ProxyFixture.getWithLongTimeout("r2"));
            while (!proxy.awaitEvent(RequestArrived.class).requestId().equals("r2")) {
                // Skips the arrival of r1.
            }
            try {
                attempt.send(ScriptedServer.response("500 Internal Server Error", "x"));
                proxy.awaitEvent(AttemptEnded.class);
                disconnectUnread(id.equals("r1") ? first : queued, kind);
            } finally {
                release.countDown();
            }
            try (var next = proxy.connectClient()) {
                next.send(ProxyFixture.getWithLongTimeout("next"));
                assertThat(attempt.read().header("X-Request-ID")).isEqualTo("next");
                assertThat(proxy.awaitEvent(ClientDisconnected.class).requestId())
                        .isEqualTo(id);
                AttemptEnded ended = proxy.awaitEvent(AttemptEnded.class);
                assertThat(ended.requestId()).isEqualTo(id);
                assertThat(ended.outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
                assertThat(ended.requestEnded()).isTrue();
            }
        }
    }

    /**
     * While the event loop is blocked, the connection for an attempt is established, and then the client disconnects.
     * The request must not be written to the new connection.
     */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset", "end"})
    @Timeout(30)
    void nothingIsWrittenToANewConnectionWhileACloseIsUnread(String kind) throws Exception {
        var release = new CountDownLatch(1);
        ProxyFixture.StubLoadBalancer loadBalancer = (event, actions) -> {
            if (event instanceof RequestArrived a && a.requestId().equals("hold")) {
                awaitRelease(release);
            } else {
                ProxyFixture.singleAttemptTo("s0").handle(event, actions);
            }
        };
        try (var backend = new FullBacklog();
                var proxy = new ProxyFixture(loadBalancer, ClientDisconnectTest.withEndpoint(backend));
                var client = proxy.connectClient().send(ProxyFixture.getWithLongTimeout("r1"));
                var blockingClient = proxy.connectClient()) {
            proxy.awaitEvent(RequestArrived.class);
            proxy.awaitInputHandled();
            RawConnection attempt;
            try {
                blockingClient.send(ProxyFixture.getWithLongTimeout("hold"));
                proxy.awaitEvent(RequestArrived.class);
                attempt = backend.acceptWaitingClient();
                disconnectUnread(client, kind);
            } finally {
                release.countDown();
            }
            try (attempt) {
                assertThat(attempt.awaitClose()).isTrue();
            }
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
        }
    }

    /**
     * Clients send a request and disconnect while the event loop is blocked. The proxy must read each connection to its
     * end before it dispatches a request from it, so none of these requests may be dispatched.
     */
    @Test
    void requestWhoseClientHasDisconnectedIsNotDispatched() throws Exception {
        var release = new CountDownLatch(1);
        ProxyFixture.StubLoadBalancer loadBalancer = (event, actions) -> {
            if (event instanceof RequestArrived a && a.requestId().equals("first")) {
                ScriptedServer.await(release);
            }
            if (event instanceof RequestArrived a) {
                actions.accept(new Reject(a.requestId(), 0));
            }
        };
        try (var proxy = new ProxyFixture(loadBalancer);
                var first = proxy.connectClient()) {
            first.send(ProxyFixture.get("first"));
            proxy.awaitEvent(RequestArrived.class);
            for (int i = 0; i < 5; i++) {
                try (var disconnected = proxy.connectClient()) {
                    disconnected.send(ProxyFixture.get("gone" + i));
                }
            }
            try (var late = proxy.connectClient()) {
                late.send(ProxyFixture.get("late"));
                release.countDown();
                assertThat(late.read().status()).isEqualTo(503);
            }
            assertThat(proxy.awaitEvent(RequestArrived.class).requestId()).isEqualTo("late");
        }
    }

    /**
     * A client sends a large number of bytes after its request and disconnects. If the proxy did not read these bytes,
     * it would not detect the close that follows them.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectAfterUnservedBytesIsDetected(boolean reset) throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.getWithLongTimeout("r1") + "RUBBISH\r\n\r\n");
            proxy.awaitEvent(RequestArrived.class);
            String chunk = "x".repeat(65_536);
            try {
                for (int i = 0; i < 16; i++) {
                    client.send(chunk);
                }
            } catch (IOException e) {
                // The proxy may close the connection before everything has been written.
            }
            ClientDisconnectTest.disconnect(client, reset);
            assertThat(proxy.awaitEvent(ClientDisconnected.class).requestId()).isEqualTo("r1");
            ScriptedServer.await(() -> proxy.connectedClients() == 0);
        }
    }
}
