package gaugegw.proxy.transport;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.ProxyProcess;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients without a request must leave descriptors for calls to discovery, readiness checks and requests. */
class DescriptorReserveTest {
    private static final int DESCRIPTOR_LIMIT = 128;
    private static final int MANY_CLIENTS = 400;
    /** The message of the Java runtime when the kernel refuses another descriptor. */
    private static final String NO_DESCRIPTOR_MESSAGE = "Too many open files";

    private static final String READINESS_CHECK = "GET /ready HTTP/1.1\r\n\r\n";

    private final List<RawConnection> clients = new ArrayList<>();

    @AfterEach
    void disconnectClients() throws IOException {
        for (RawConnection client : clients) {
            client.close();
        }
    }

    /** Connects clients that each send the same text. */
    private void connectClients(int port, int count, String sent) throws IOException {
        for (int i = 0; i < count; i++) {
            RawConnection client = RawConnection.connectTo(port);
            clients.add(client);
            try {
                client.send(sent);
            } catch (IOException e) {
                // The proxy has already evicted this client.
            }
        }
    }

    /** Sends a request on a new connection; returns whether the response has the given status. */
    private static boolean getsResponse(int port, String request, int status) {
        try (RawConnection client = RawConnection.connectTo(port)) {
            RawConnection.Message response = client.send(request).read();
            return response != null && response.status() == status;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns what a client of a kind sends: nothing, a complete request that leaves it idle, or half a request. */
    private static String bytesSentBy(String kind) {
        return switch (kind) {
            case "silent" -> "";
            case "idle" -> READINESS_CHECK;
            default -> ProxyFixture.post("half", "body").replace("body", "bo");
        };
    }

    /**
     * Hundreds of clients connect that send nothing, become idle or send half a request. In some cases discovery closes
     * the first call as well. If these clients used up the descriptors, the proxy could neither get its endpoint list
     * nor serve other clients.
     */
    @ParameterizedTest
    @CsvSource({"silent,false", "silent,true", "idle,false", "idle,true", "half,false", "half,true"})
    void receivesEndpointListAndServesRequestsDespiteManyClients(String kind, boolean discoveryCloses)
            throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.withRealLoadBalancer(DESCRIPTOR_LIMIT)) {
            backend.respondToAll(ScriptedServer.ok("served"));
            connectClients(proxy.address.getPort(), MANY_CLIENTS, bytesSentBy(kind));
            if (discoveryCloses) {
                proxy.discovery.accept().close();
            }
            proxy.awaitInputHandled();
            assertThat(proxy.connectedClients()).isPositive();
            proxy.discovery.respondToAll(ScriptedServer.ok(ProxyFixture.endpointListJson(
                    42, true, ProxyFixture.endpointJson("s0", backend.address(), "ready"))));
            ScriptedServer.await(() -> getsResponse(proxy.address.getPort(), READINESS_CHECK, 200));
            assertThat(getsResponse(proxy.address.getPort(), ProxyFixture.get("r1"), 200))
                    .isTrue();
        }
    }

    /** Guards against a kept connection that is closed because clients without a request connect again and again. */
    @Test
    @Timeout(60)
    void keptConnectionStaysOpenBesideClientsThatReconnect() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.withRealLoadBalancer(ProxyFixture.LONG_TIMEOUTS, DESCRIPTOR_LIMIT, backend);
                var kept = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok("served"));
            int port = proxy.address.getPort();
            // From its first request on, the connection is no longer one that may be evicted as new.
            assertThat(kept.send(ProxyFixture.getWithLongTimeout("first")).read())
                    .isNotNull();
            var reconnects = new AtomicInteger();
            for (int i = 0; i < DESCRIPTOR_LIMIT; i++) {
                ScriptedServer.runInBackground(() -> {
                    while (true) {
                        try (RawConnection silent = RawConnection.connectTo(port)) {
                            silent.awaitClose();
                            reconnects.incrementAndGet();
                        }
                    }
                });
            }
            int reconnectsBefore = reconnects.get();
            int served = 0;
            while (reconnects.get() - reconnectsBefore < MANY_CLIENTS) {
                RawConnection.Message response = kept.send(ProxyFixture.getWithLongTimeout("kept" + served))
                        .read();
                assertThat(response).isNotNull();
                assertThat(response.header("Connection")).isNotEqualTo("close");
                served++;
            }
            assertThat(served).isPositive();
        }
    }

    /**
     * Backends send unexpected bytes on idle connections in the same iteration of the event loop in which attempts
     * acquire these connections. Each is closed instead of reused, but its descriptor is not released yet. Another one
     * may be opened in its place only within the limit, which is reached here: one attempt is not sent. The request
     * "blocker" blocks the event loop in the load balancer until all other requests have been sent.
     */
    @Test
    @Timeout(30)
    void replacementForClosedConnectionNeedsFreeDescriptor() throws Exception {
        int backends = DescriptorBudget.of(DESCRIPTOR_LIMIT).softConnectionLimit() / 2;
        int requests = backends - 1;
        var releaseBlocker = new CountDownLatch(1);
        var unexpectedBytesSent = new CountDownLatch(1);
        ProxyFixture.StubLoadBalancer loadBalancer = (event, actions) -> {
            if (event instanceof RequestArrived a && a.requestId().equals("blocker")) {
                ScriptedServer.await(releaseBlocker);
                actions.accept(new Reject(a.requestId(), 0));
            } else if (event instanceof RequestArrived a) {
                if (a.requestId().startsWith("again")) {
                    ScriptedServer.await(unexpectedBytesSent);
                }
                ProxyFixture.singleAttemptTo("s" + a.requestId().replaceAll("\\D", ""))
                        .handle(event, actions);
            } else {
                ProxyFixture.singleAttemptTo("").handle(event, actions);
            }
        };
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        loadBalancer,
                        DESCRIPTOR_LIMIT,
                        15_000_000,
                        Collections.nCopies(backends, backend).toArray(ScriptedServer[]::new))) {
            connectClientsWithRequest(proxy, "first", backends);
            var attempts = new ArrayList<RawConnection>();
            for (int i = 0; i < backends; i++) {
                attempts.add(backend.accept());
            }
            for (RawConnection attempt : attempts) {
                attempt.read();
                attempt.send(ScriptedServer.ok("x"));
                proxy.awaitEvent(AttemptEnded.class);
            }
            long answeredAtNs = System.nanoTime();
            disconnectClients();
            clients.clear();
            ScriptedServer.await(() -> proxy.connectedClients() == 0 && System.nanoTime() - answeredAtNs > 20_000_000);
            connectClients(proxy.address.getPort(), requests, "");
            ScriptedServer.await(() -> proxy.connectedClients() == requests);
            connectClientsWithRequest(proxy, "blocker", 1);
            // All of these are read in one iteration of the event loop, during which the backends send their bytes.
            for (int i = 0; i < requests; i++) {
                clients.get(i).send(ProxyFixture.getWithLongTimeout("again" + i));
            }
            releaseBlocker.countDown();
            proxy.awaitEvent(RequestArrived.class);
            for (RawConnection attempt : attempts) {
                attempt.send("not requested");
            }
            backend.respondToAll(ScriptedServer.ok("x"));
            unexpectedBytesSent.countDown();
            var outcomes = new ArrayList<AttemptOutcome>();
            for (int i = 0; i < requests; i++) {
                outcomes.add(proxy.awaitEvent(AttemptEnded.class).outcome());
            }
            assertThat(outcomes).contains(AttemptOutcome.SUCCESS).containsOnlyOnce(AttemptOutcome.NOT_SENT);
        }
    }

    /** Connects clients one by one; each sends a request, and the next one connects when the proxy has received it. */
    private void connectClientsWithRequest(ProxyFixture proxy, String name, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            connectClients(proxy.address.getPort(), 1, ProxyFixture.getWithLongTimeout(count == 1 ? name : name + i));
            proxy.awaitEvent(RequestArrived.class);
        }
    }

    /**
     * Many clients of each kind connect while connections to many backends are open. The kernel enforces the limit: if
     * the process needed one descriptor too many, opening it would fail, and the failure would be logged.
     */
    @Test
    void processStaysWithinDescriptorLimit(@TempDir Path folder) throws Exception {
        int maxDescriptors = DESCRIPTOR_LIMIT + ProxyProcess.EXTRA_JARS;
        try (var backend = new ScriptedServer();
                var discovery = new ScriptedServer();
                var proxy = start(folder, config(discovery, DESCRIPTOR_LIMIT), maxDescriptors)) {
            backend.respondToAll(ScriptedServer.ok("served"));
            String[] entries = IntStream.range(0, DESCRIPTOR_LIMIT)
                    .mapToObj(i -> ProxyFixture.endpointJson("s" + i, backend.address(), "ready"))
                    .toArray(String[]::new);
            discovery.respondToAll(ScriptedServer.ok(ProxyFixture.endpointListJson(42, true, entries)));
            int port = proxy.awaitPort();
            ScriptedServer.await(() -> getsResponse(port, READINESS_CHECK, 200));
            assertThat(proxy.openJars()).isEqualTo(1 + ProxyProcess.EXTRA_JARS);
            // First fill the proxy's pools with idle connections to backends.
            var requests = new int[1];
            ScriptedServer.await(() -> {
                getsResponse(port, ProxyFixture.get("r" + requests[0]++), 200);
                return proxy.openDescriptors() > maxDescriptors - DESCRIPTOR_LIMIT / 2;
            });
            for (String kind : List.of("silent", "half", "idle")) {
                connectClients(port, MANY_CLIENTS, bytesSentBy(kind));
                assertThat(proxy.openDescriptors()).isLessThanOrEqualTo(maxDescriptors);
                ScriptedServer.await(() -> getsResponse(port, ProxyFixture.get(kind), 200));
            }
            assertThat(proxy.hasLogged(NO_DESCRIPTOR_MESSAGE)).isFalse();
        }
    }

    /**
     * The kernel grants far fewer descriptors than the configuration states, and clients use them up. The process must
     * log the failure, although it can't open any file to do so, and serve again when the clients have disconnected.
     */
    @Test
    void processSurvivesLackOfDescriptors(@TempDir Path folder) throws Exception {
        try (var discovery = new ScriptedServer();
                var proxy = startWithTooFewDescriptors(folder, discovery)) {
            int port = proxy.awaitPort();
            connectClients(port, DESCRIPTOR_LIMIT, "");
            proxy.awaitLog(NO_DESCRIPTOR_MESSAGE);
            disconnectClients();
            ScriptedServer.await(() -> getsResponse(port, READINESS_CHECK, 503));
        }
    }

    /**
     * Clients use up all descriptors, and the call to discovery ends. The next call gets no descriptor and fails. It
     * must be retried, and succeed when the clients have disconnected.
     */
    @Test
    void discoveryCallIsRetriedAfterLackOfDescriptors(@TempDir Path folder) throws Exception {
        try (var discovery = new ScriptedServer();
                var proxy = startWithTooFewDescriptors(folder, discovery)) {
            int port = proxy.awaitPort();
            RawConnection watch = discovery.accept();
            watch.read();
            connectClients(port, DESCRIPTOR_LIMIT, "");
            ScriptedServer.await(() -> proxy.openDescriptors() == DESCRIPTOR_LIMIT / 2);
            watch.close();
            proxy.awaitLog("no connection");
            disconnectClients();
            assertThat(discovery.accept().read()).isNotNull();
        }
    }

    /** Starts a proxy whose configuration states far more descriptors than the kernel grants. */
    private static ProxyProcess startWithTooFewDescriptors(Path folder, ScriptedServer discovery) throws IOException {
        return start(folder, config(discovery, 1_024), DESCRIPTOR_LIMIT / 2);
    }

    private static ProxyProcess start(Path folder, String config, int descriptors) throws IOException {
        return ProxyProcess.start(Files.writeString(folder.resolve("config.json"), config), descriptors);
    }

    private static String config(ScriptedServer discovery, int descriptorLimit) {
        return ProxyFixture.configText(discovery.address())
                .replace("\"sockets\":1024", "\"sockets\":" + descriptorLimit);
    }
}
