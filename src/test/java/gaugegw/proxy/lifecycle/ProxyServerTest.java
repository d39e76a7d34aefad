package gaugegw.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.http.HttpLimits;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import gaugegw.proxy.transport.DescriptorBudget;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Serving with the production load balancer, graceful shutdown, and the limit on client connections. */
class ProxyServerTest {
    /** A readiness check. The connection stays open after the response, even if the proxy is not ready. */
    private static final String GET_READY = "GET /ready HTTP/1.1\r\n\r\n";

    private static final String LONGEST_BODY = "x".repeat(HttpLimits.MAX_BODY_BYTES);
    /** Number of responses with {@link #LONGEST_BODY} that exceed the kernel buffers of both sides. */
    private static final int RESPONSES_EXCEEDING_KERNEL_BUFFERS = 150;

    /**
     * With the production load balancer and one of two backends unreachable, the proxy retries on the other backend,
     * watches the endpoint list, and rejects requests once the list is empty.
     */
    @Test
    void servesWithTheProductionLoadBalancer() throws Exception {
        var unreachable = new ScriptedServer();
        unreachable.close();
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.withRealLoadBalancer(unreachable, backend);
                var client = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok("served"));
            RawConnection watch = proxy.discovery.accept();
            assertThat(watch.read().firstLine()).contains("from=41&hold_ms=0");
            for (int i = 0; i < 10; i++) {
                assertThat(client.send(ProxyFixture.post("r" + i, "pay")).read().body())
                        .isEqualTo("served");
            }
            watch.send(ScriptedServer.ok(ProxyFixture.endpointListJson(42, true)));
            proxy.discovery.accept().read();
            RawConnection.Message response =
                    client.send(ProxyFixture.get("none")).read();
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.header("Retry-After")).matches("[01]\\.[0-9]{3}");
        }
    }

    /**
     * The drain begins before the proxy has started to listen. The proxy must accept no client, and must not report an
     * invalid configuration.
     */
    @Test
    void doesNotListenOnceTheDrainHasBegun() throws Exception {
        ProxyConfig config = ProxyConfig.parse(ProxyFixture.configTree());
        var server = new ProxyServer(config);
        try {
            server.drain();
            assertThat(server.start()).isEmpty();
        } finally {
            server.stop();
        }
    }

    /**
     * A drain begins with one request in flight, one connection idle and one in use, while new connections still
     * arrive. The request in flight and the requests on new connections must be answered. The connections must stay
     * open for most of the drain. Before its end, those in use must be closed after a response, and idle ones directly.
     */
    @Test
    void answersAllRequestsInFlightDuringADrain() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var busy = proxy.connectClient();
                var idle = proxy.connectClient();
                var used = proxy.connectClient()) {
            busy.send(ProxyFixture.get("r1"));
            RawConnection slowAttempt = backend.accept();
            slowAttempt.read();
            idle.send(GET_READY).read();
            used.send(GET_READY).read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            try (var late = proxy.connectClient()) {
                late.send(ProxyFixture.get("r2"));
                RawConnection attempt = backend.accept();
                attempt.read();
                attempt.send(ScriptedServer.ok("late"));
                assertThat(late.read().body()).isEqualTo("late");
            }
            // Connections stay open after the proxy stops accepting new ones: other proxies may have just started.
            while (acceptsConnections(proxy)) {
                assertThat(used.send(GET_READY).read().header("Connection")).isNull();
            }
            assertThat(used.send(GET_READY).read().header("Connection")).isNull();
            assertThat(drained).isNotDone();
            slowAttempt.send(ScriptedServer.ok("slow"));
            assertThat(busy.read().body()).isEqualTo("slow");
            RawConnection.Message response = used.send(GET_READY).read();
            while (response.header("Connection") == null) {
                response = used.send(GET_READY).read();
            }
            assertThat(response.header("Connection")).isEqualTo("close");
            assertThat(used.awaitClose()).isTrue();
            assertThat(idle.awaitClose()).isTrue();
            assertThat(busy.awaitClose()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /**
     * A request is still in flight shortly before the process must end. It must be answered with a failure, as the
     * process would otherwise end without a response to it.
     */
    @Test
    void failsRequestsInFlightAtTheEndOfTheDrain() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.getWithLongTimeout("r1"));
            backend.accept().read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            assertThat(client.read().status()).isEqualTo(502);
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /**
     * A client has sent a second request after one in flight. The second request only begins when the first one has
     * failed at the end of the drain. It must get a response too.
     */
    @Test
    void rejectsARequestThatBeginsAtTheEndOfTheDrain() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.getWithLongTimeout("r1") + ProxyFixture.getWithLongTimeout("r2"));
            backend.accept().read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(client.awaitClose()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /**
     * A client is slow to read its responses when a drain begins, or when the proxy has reached its limit on client
     * connections. Its connection only becomes idle once the responses are written, so neither the drain nor an
     * eviction may truncate them.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void completesResponsesThatClientsAreSlowToRead(boolean atConnectionLimit) throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (!(event instanceof RequestArrived a)
                                    || !a.requestId().startsWith("unanswered")) {
                                ProxyFixture.singleAttemptTo("s0").handle(event, actions);
                            }
                        },
                        128,
                        15_000_000,
                        backend);
                var slow = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok(LONGEST_BODY));
            sendWithoutReading(proxy, slow, RESPONSES_EXCEEDING_KERNEL_BUFFERS);
            CompletableFuture<Void> drained = CompletableFuture.completedFuture(null);
            if (atConnectionLimit) {
                // These clients all have a request in flight, so only the slow client could be evicted for them.
                for (int i = 0; i < DescriptorBudget.of(128).maxClients(); i++) {
                    RawConnection client = proxy.connectClient();
                    clients.add(client);
                    client.send(ProxyFixture.get("unanswered" + i));
                    proxy.awaitEvent(RequestArrived.class);
                }
            } else {
                RawConnection idle = proxy.connectClient();
                clients.add(idle);
                idle.send(GET_READY).read();
                drained = CompletableFuture.runAsync(proxy::drain);
                assertThat(idle.awaitClose()).isTrue();
            }
            readAll(slow, RESPONSES_EXCEEDING_KERNEL_BUFFERS);
            drained.get(10, TimeUnit.SECONDS);
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }

    /**
     * A request arrives while the last response of its connection is still being written. It must not begin: its
     * response could not be sent, as the connection is about to be closed.
     */
    @Test
    @Timeout(30)
    void noRequestBeginsAfterTheLastResponse() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var slow = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok(LONGEST_BODY));
            sendWithoutReading(proxy, slow, RESPONSES_EXCEEDING_KERNEL_BUFFERS - 1);
            slow.send(ProxyFixture.get("last").replace("Host:", "Connection: close\r\nHost:"));
            proxy.awaitEvent(AttemptEnded.class);
            slow.send(ProxyFixture.get("behind"));
            proxy.awaitInputHandled();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
            readAll(slow, RESPONSES_EXCEEDING_KERNEL_BUFFERS);
            assertThat(slow.awaitClose()).isTrue();
        }
    }

    /**
     * As above, but a drain closes the connection, which has no request in flight. The close must wait until the
     * responses are written, and no request may begin meanwhile.
     */
    @Test
    @Timeout(30)
    void noRequestBeginsOnAConnectionThatADrainCloses() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var slow = proxy.connectClient();
                var idle = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok(LONGEST_BODY));
            sendWithoutReading(proxy, slow, RESPONSES_EXCEEDING_KERNEL_BUFFERS);
            idle.send(GET_READY).read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            assertThat(idle.awaitClose()).isTrue();
            slow.send(ProxyFixture.get("behind"));
            readAll(slow, RESPONSES_EXCEEDING_KERNEL_BUFFERS);
            assertThat(slow.awaitClose()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }

    /**
     * A client keeps sending before it has read its last response. If the proxy closed the connection with these bytes
     * unread, the connection would be reset and the client would lose the response. So the proxy shuts down its output
     * and lingers.
     */
    @Test
    @Timeout(30)
    void lastResponseIsNotLostWhenTheClientKeepsSending() throws Exception {
        // More responses than the kernel buffers for the client hold, but fewer than the buffers of both sides hold.
        int responses = 8;
        var proceed = new CountDownLatch(1);
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a
                                    && a.requestId().equals("last")) {
                                ScriptedServer.await(proceed);
                                actions.accept(new Reject(a.requestId(), 0));
                            } else {
                                ProxyFixture.singleAttemptTo("s0").handle(event, actions);
                            }
                        },
                        backend);
                var slow = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok(LONGEST_BODY));
            sendWithoutReading(proxy, slow, responses);
            slow.send(ProxyFixture.get("last").replace("Host:", "Connection: close\r\nHost:"));
            proxy.awaitEvent(RequestArrived.class);
            slow.send(ProxyFixture.get("behind"));
            proceed.countDown();
            proxy.awaitInputHandled();
            readAll(slow, responses);
            assertThat(slow.read().status()).isEqualTo(503);
            assertThat(slow.awaitClose()).isTrue();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
            // The connection lingers, but a drain does not wait for it.
            ScriptedServer.await(() -> proxy.connectedClients() == 0);
        }
    }

    /** Sends requests, each after the attempt for the previous one has ended, without reading the responses. */
    private static void sendWithoutReading(ProxyFixture proxy, RawConnection client, int responses) throws Exception {
        for (int i = 0; i < responses; i++) {
            client.send(ProxyFixture.get("r" + i));
            proxy.awaitEvent(AttemptEnded.class);
            proxy.awaitInputHandled();
        }
    }

    private static void readAll(RawConnection client, int responses) throws IOException {
        for (int i = 0; i < responses; i++) {
            assertThat(client.read().body()).isEqualTo(LONGEST_BODY);
        }
    }

    private static boolean acceptsConnections(ProxyFixture proxy) {
        try {
            proxy.connectClient().close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Hundreds of clients connect and send nothing, and one more is idle after a response. Connections of both kinds
     * must be evicted in favor of a client that sends a request.
     */
    @Test
    void evictsConnectionsWithoutARequest() throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), 128, 15_000_000, backend)) {
            backend.respondToAll(ScriptedServer.ok("x"));
            RawConnection idle = proxy.connectClient();
            clients.add(idle);
            assertThat(idle.send(GET_READY).read().status()).isEqualTo(503);
            for (int i = 0; i < 300; i++) {
                clients.add(proxy.connectClient());
            }
            try (var client = proxy.connectClient()) {
                assertThat(client.send(ProxyFixture.get("r1")).read().status()).isEqualTo(200);
            }
            assertThat(idle.awaitClose()).isTrue();
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }

    /**
     * The proxy is near its limit on client connections, all with a request in flight. It must close connections with
     * their responses: unlike an eviction, such a close can't happen while the client's next request is on its way.
     */
    @Test
    void closesConnectionsWithTheirResponsesNearTheLimit() throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var proxy = new ProxyFixture((event, actions) -> {}, 128, 15_000_000)) {
            for (int i = 0; i < 40; i++) {
                clients.add(proxy.connectClient().send(ProxyFixture.get("r" + i)));
                proxy.awaitEvent(RequestArrived.class);
            }
            RawConnection next = proxy.connectClient();
            clients.add(next);
            assertThat(next.send(GET_READY).read().header("Connection")).isEqualTo("close");
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }

    /**
     * The proxy has reached its limit on client connections, and all of them have a request in flight. The next client
     * must wait in the backlog, and must be accepted and served once other connections are closed.
     */
    @Test
    void acceptsAgainOnceConnectionsAreClosed() throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a
                                    && a.requestId().startsWith("last")) {
                                ProxyFixture.singleAttemptTo("s0").handle(event, actions);
                            }
                        },
                        128,
                        15_000_000,
                        backend)) {
            backend.respondToAll(ScriptedServer.ok("x"));
            for (int i = 0; i < 100; i++) {
                clients.add(proxy.connectClient().send(ProxyFixture.get("r" + i)));
            }
            RawConnection last = proxy.connectClient().send(ProxyFixture.get("last"));
            clients.add(last);
            // The proxy fails the other requests at their deadlines and closes their connections.
            assertThat(last.read()).isNotNull();
            for (RawConnection client : List.copyOf(clients).subList(0, 20)) {
                assertThat(client.read().status()).isEqualTo(502);
            }
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }
}
