package gaugegw.proxy.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two things happen at the same time. The load balancer blocks the event loop until both have happened, so that the
 * loop finds both when it continues.
 */
class SimultaneousEventsTest {
    /**
     * Returns a load balancer that makes one attempt for each request, as {@link ProxyFixture#singleAttemptTo} does,
     * and blocks the event loop when a given request arrives.
     *
     * @param blockingId the id of the request
     * @param unblock ends the block
     * @param firstTimeoutUs the timeout of the attempt for request {@code r1}, in microseconds; 0 for the request's
     *     deadline
     */
    private static ProxyFixture.StubLoadBalancer blockingAt(
            String blockingId, CountDownLatch unblock, long firstTimeoutUs) {
        return (event, actions) -> {
            if (event instanceof RequestArrived arrived && arrived.requestId().equals(blockingId)) {
                ScriptedServer.await(unblock);
            }
            boolean first = event instanceof RequestArrived arrived
                    && arrived.requestId().equals("r1");
            ProxyFixture.singleAttemptTo("s0", first ? firstTimeoutUs : 0).handle(event, actions);
        };
    }

    private static void awaitArrival(ProxyFixture proxy, String id) throws InterruptedException {
        while (!proxy.awaitEvent(RequestArrived.class).requestId().equals(id)) {
            // Skips an earlier request.
        }
    }

    /**
     * While the event loop is blocked, a backend sends unexpected input on a pooled connection or closes it, so that
     * the loop has not read this when the next request needs a connection. The request has to go over a new connection:
     * on the old one, the unexpected bytes would be taken for its response.
     */
    @ParameterizedTest
    @ValueSource(strings = {"second response", "partial status line", "close", "reset"})
    void doesNotReuseAPooledConnectionWithUnreadInput(String input) throws Exception {
        var unblock = new CountDownLatch(1);
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(blockingAt("r2", unblock, 0), ProxyFixture.LONG_TIMEOUTS, backend);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.getWithLongTimeout("r1"));
            RawConnection attempt = backend.accept();
            attempt.read();
            attempt.send(ScriptedServer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            long respondedNanos = System.nanoTime();
            client.send(ProxyFixture.getWithLongTimeout("r2"));
            awaitArrival(proxy, "r2");
            switch (input) {
                case "second response" -> attempt.send(ScriptedServer.ok("not asked for"));
                case "partial status line" -> attempt.send("HTTP/1.");
                case "close" -> attempt.close();
                default -> {
                    attempt.socket.setSoLinger(true, 0);
                    attempt.close();
                }
            }
            // A connection is only reused after it has been idle for some milliseconds.
            ScriptedServer.await(() -> System.nanoTime() - respondedNanos > 20_000_000);
            backend.respondToAll(ScriptedServer.ok("y"));
            unblock.countDown();
            assertThat(client.read().body()).isEqualTo("y");
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            proxy.awaitInputHandled();
            assertThat(proxy.openRequests()).isZero();
        }
    }

    /**
     * The response of an attempt arrives at the moment at which the attempt times out. Only what the event loop sees
     * first counts: the load balancer is notified of one outcome, and the client gets one response.
     */
    @Test
    void reportsOneOutcomeIfAResponseArrivesAtTheTimeout() throws Exception {
        var unblock = new CountDownLatch(1);
        try (var backend = new ScriptedServer();
                var proxy =
                        new ProxyFixture(blockingAt("other", unblock, 100_000), ProxyFixture.LONG_TIMEOUTS, backend);
                var client = proxy.connectClient();
                var other = proxy.connectClient()) {
            client.send(ProxyFixture.getWithLongTimeout("r1"));
            RawConnection attempt = backend.accept();
            attempt.read();
            long sentNanos = System.nanoTime();
            other.send(ProxyFixture.getWithLongTimeout("other"));
            awaitArrival(proxy, "other");
            attempt.send(ScriptedServer.ok("x"));
            ScriptedServer.await(() -> System.nanoTime() - sentNanos > 150_000_000);
            backend.respondToAll(ScriptedServer.ok("y"));
            // The connection is reused unless the attempt was aborted.
            attempt.respondToAll(ScriptedServer.ok("y"), new ArrayDeque<>());
            unblock.countDown();
            AttemptEnded end = proxy.awaitEvent(AttemptEnded.class);
            assertThat(end.requestId()).isEqualTo("r1");
            assertThat(end.outcome()).isIn(AttemptOutcome.SUCCESS, AttemptOutcome.TIMEOUT);
            assertThat(client.read().status()).isEqualTo(end.outcome() == AttemptOutcome.SUCCESS ? 200 : 502);
            assertThat(proxy.awaitEvent(AttemptEnded.class).requestId()).isEqualTo("other");
            proxy.awaitInputHandled();
            assertThat(proxy.events).noneMatch(AttemptEnded.class::isInstance);
            assertThat(proxy.openRequests()).isZero();
            // A late response to the first request must not be taken for that of the next one.
            assertThat(client.send(ProxyFixture.getWithLongTimeout("r3")).read().body())
                    .isEqualTo("y");
        }
    }

    /**
     * A client closes or resets its connection at the moment at which its response arrives. The load balancer is
     * notified of the end of the attempt exactly once, and the proxy retains no state of the request.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void reportsOneOutcomeIfTheClientDisconnectsAtTheResponse(boolean reset) throws Exception {
        var unblock = new CountDownLatch(1);
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(blockingAt("other", unblock, 0), ProxyFixture.LONG_TIMEOUTS, backend);
                var other = proxy.connectClient()) {
            RawConnection client = proxy.connectClient().send(ProxyFixture.getWithLongTimeout("r1"));
            RawConnection attempt = backend.accept();
            attempt.read();
            other.send(ProxyFixture.getWithLongTimeout("other"));
            awaitArrival(proxy, "other");
            attempt.send(ScriptedServer.ok("x"));
            client.socket.setSoLinger(reset, 0);
            client.close();
            backend.respondToAll(ScriptedServer.ok("y"));
            unblock.countDown();
            AttemptEnded end = proxy.awaitEvent(AttemptEnded.class);
            assertThat(end.requestId()).isEqualTo("r1");
            assertThat(end.outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            assertThat(other.read().body()).isEqualTo("y");
            assertThat(proxy.awaitEvent(AttemptEnded.class).requestId()).isEqualTo("other");
            proxy.awaitInputHandled();
            assertThat(proxy.events).noneMatch(AttemptEnded.class::isInstance);
            assertThat(proxy.openRequests()).isZero();
            // The other client is left; the connection of awaitInputHandled() may take a moment to be closed.
            ScriptedServer.await(() -> proxy.connectedClients() == 1);
        }
    }

    /**
     * A response arrives at the moment at which discovery lists its endpoint as draining. The client gets the response,
     * but the connection to the endpoint is closed and no further attempt starts there.
     */
    @Test
    void forwardsTheResponseOfAnEndpointThatBeginsToDrain() throws Exception {
        var unblock = new CountDownLatch(1);
        ProxyFixture.StubLoadBalancer watching = ProxyFixture.singleAttemptWithWatch("s0");
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived arrived
                                    && arrived.requestId().equals("other")) {
                                ScriptedServer.await(unblock);
                            } else {
                                watching.handle(event, actions);
                            }
                        },
                        ProxyFixture.LONG_TIMEOUTS,
                        backend);
                var client = proxy.connectClient();
                var other = proxy.connectClient()) {
            RawConnection watch = proxy.discovery.accept();
            watch.read();
            client.send(ProxyFixture.getWithLongTimeout("r1"));
            RawConnection attempt = backend.accept();
            attempt.read();
            other.send(ProxyFixture.getWithLongTimeout("other"));
            awaitArrival(proxy, "other");
            attempt.send(ScriptedServer.ok("x"));
            watch.send(ScriptedServer.ok(ProxyFixture.endpointListJson(
                    42, false, ProxyFixture.endpointJson("s0", backend.address(), "draining"))));
            unblock.countDown();
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            assertThat(attempt.awaitClose()).isTrue();
            client.send(ProxyFixture.getWithLongTimeout("r2"));
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /**
     * Requests are queued in the production load balancer when their endpoint begins to drain and another one becomes
     * ready. Whenever capacity becomes free after that, the queued requests go to the ready endpoint.
     */
    @Test
    void sendsQueuedRequestsToTheReadyEndpoint() throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var readyBackend = new ScriptedServer();
                var proxy = ProxyFixture.withRealLoadBalancer(ProxyFixture.LONG_TIMEOUTS, backend)) {
            while (clients.size() < proxy.startedAttempts.size() + 2) {
                clients.add(proxy.connectClient().send(ProxyFixture.getWithLongTimeout("r" + clients.size())));
                proxy.awaitEvent(RequestArrived.class);
                proxy.awaitInputHandled();
            }
            int sentCount = proxy.startedAttempts.size();
            proxy.answerWatchCall(
                    ProxyFixture.endpointJson("s0", backend.address(), "draining"),
                    ProxyFixture.endpointJson("s1", readyBackend.address(), "ready"));
            readyBackend.respondToAll(ScriptedServer.ok("x"));
            while (proxy.awaitEvent(EndpointUpdate.class).kind() != UpdateKind.DELTA) {
                // Skips the cached list.
            }
            proxy.awaitInputHandled();
            // When the attempts in flight end, there is capacity for the queued requests.
            for (RawConnection client : clients.subList(0, sentCount)) {
                backend.accept();
                client.close();
                proxy.awaitEvent(AttemptEnded.class);
            }
            proxy.awaitInputHandled();
            List<StartAttempt> laterAttempts =
                    List.copyOf(proxy.startedAttempts).subList(sentCount, proxy.startedAttempts.size());
            assertThat(laterAttempts)
                    .isNotEmpty()
                    .allMatch(start -> start.endpointId().equals("s1"));
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }
}
