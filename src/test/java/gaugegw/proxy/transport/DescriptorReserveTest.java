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
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Many clients without a request leave descriptors to discovery, to readiness checks and to requests. */
class DescriptorReserveTest {
    private static final int DESCRIPTOR_LIMIT = 128;
    private static final int MANY_CLIENTS = 400;
    /** The runtime's message where the kernel grants no descriptor. */
    private static final String NO_DESCRIPTOR = "Too many open files";

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

    private final List<RawConnection> clients = new ArrayList<>();

    @AfterEach
    void disconnectClients() throws IOException {
        for (RawConnection client : clients) {
            client.close();
        }
    }

    /** Connects clients that each send a text. */
    private void connect(int port, int count, String sent) throws IOException {
        for (int i = 0; i < count; i++) {
            RawConnection client = RawConnection.connectTo(port);
            clients.add(client);
            try {
                client.send(sent);
            } catch (IOException e) {
                // The proxy has evicted it already.
            }
        }
    }

    /** Returns whether a request on a new connection is answered with a status. */
    private static boolean answers(int port, String request, int status) {
        try (RawConnection client = RawConnection.connectTo(port)) {
            RawConnection.Message response = client.send(request).read();
            return response != null && response.status() == status;
        } catch (IOException e) {
            return false;
        }
    }

    /** What a client has sent: nothing, a request whose response leaves the connection idle, or half a request. */
    private static String sentBy(String kind) {
        return switch (kind) {
            case "silent" -> "";
            case "idle" -> READY;
            default -> ProxyFixture.post("half", "body").replace("body", "bo");
        };
    }

    /**
     * Hundreds of clients connect and have no complete request in flight: they are silent, idle or in the middle of a
     * request. Discovery may close its first call besides. The proxy gets its endpoint list and serves all the same.
     */
    @ParameterizedTest
    @CsvSource({"silent,false", "silent,true", "idle,false", "idle,true", "half,false", "half,true"})
    void getsItsEndpointListAndServesBesideManyClients(String kind, boolean discoveryCloses) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.withRealLoadBalancer(DESCRIPTOR_LIMIT)) {
            backend.respondToAll(ScriptedServer.ok("served"));
            connect(proxy.address.getPort(), MANY_CLIENTS, sentBy(kind));
            if (discoveryCloses) {
                proxy.discovery.accept().close();
            }
            proxy.awaitInputHandled();
            assertThat(proxy.connectedClients()).isPositive();
            proxy.discovery.respondToAll(ScriptedServer.ok(ProxyFixture.endpointListJson(
                    42, true, ProxyFixture.endpointJson("s0", backend.address(), "ready"))));
            ScriptedServer.await(() -> answers(proxy.address.getPort(), READY, 200));
            assertThat(answers(proxy.address.getPort(), ProxyFixture.get("r1"), 200))
                    .isTrue();
        }
    }

    /**
     * Backends send bytes on idle connections in the same turn of the loop in which attempts acquire them. Such a
     * connection is closed instead of used, but keeps its descriptor for now. Another is opened in its place only where
     * the budget allows, so that the last of the attempts is not sent.
     */
    @Test
    @Timeout(30)
    void aConnectionInPlaceOfAClosedOneNeedsADescriptorToo() throws Exception {
        int backends = DescriptorBudget.of(DESCRIPTOR_LIMIT).softConnectionLimit() / 2;
        int requests = backends - 1;
        var blockerMayEnd = new CountDownLatch(1);
        var unrequestedBytesSent = new CountDownLatch(1);
        ProxyFixture.StubLoadBalancer module = (event, actions) -> {
            if (event instanceof RequestArrived a && a.requestId().equals("blocker")) {
                ScriptedServer.await(blockerMayEnd);
                actions.accept(new Reject(a.requestId(), 0));
            } else if (event instanceof RequestArrived a) {
                if (a.requestId().startsWith("again")) {
                    ScriptedServer.await(unrequestedBytesSent);
                }
                ProxyFixture.singleAttemptTo("s" + a.requestId().replaceAll("\\D", ""))
                        .handle(event, actions);
            } else {
                ProxyFixture.singleAttemptTo("").handle(event, actions);
            }
        };
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        module,
                        DESCRIPTOR_LIMIT,
                        15_000_000,
                        Collections.nCopies(backends, backend).toArray(ScriptedServer[]::new))) {
            connectWithRequests(proxy, "first", backends);
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
            connect(proxy.address.getPort(), requests, "");
            ScriptedServer.await(() -> proxy.connectedClients() == requests);
            connectWithRequests(proxy, "blocker", 1);
            // All are read in one turn of the loop, and the backends' bytes arrive in the middle of it.
            for (int i = 0; i < requests; i++) {
                clients.get(i).send(ProxyFixture.getWithLongTimeout("again" + i));
            }
            blockerMayEnd.countDown();
            proxy.awaitEvent(RequestArrived.class);
            for (RawConnection attempt : attempts) {
                attempt.send("not requested");
            }
            backend.respondToAll(ScriptedServer.ok("x"));
            unrequestedBytesSent.countDown();
            var outcomes = new ArrayList<AttemptOutcome>();
            for (int i = 0; i < requests; i++) {
                outcomes.add(proxy.awaitEvent(AttemptEnded.class).outcome());
            }
            assertThat(outcomes).contains(AttemptOutcome.SUCCESS).containsOnlyOnce(AttemptOutcome.NOT_SENT);
        }
    }

    /** Connects clients that each send a request, and waits until all requests have arrived. */
    private void connectWithRequests(ProxyFixture proxy, String name, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            connect(proxy.address.getPort(), 1, ProxyFixture.getWithLongTimeout(count == 1 ? name : name + i));
            proxy.awaitEvent(RequestArrived.class);
        }
    }

    /**
     * Many clients of each kind connect while all connections to backends are open. The kernel enforces the limit: were
     * one descriptor too many wanted, an open would fail and be logged.
     */
    @Test
    void theProcessKeepsWithinItsLimit(@TempDir Path folder) throws Exception {
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
            ScriptedServer.await(() -> answers(port, READY, 200));
            assertThat(proxy.openJars()).isEqualTo(1 + ProxyProcess.EXTRA_JARS);
            // Idle connections to backends first, as many as it keeps.
            var requests = new int[1];
            ScriptedServer.await(() -> {
                answers(port, ProxyFixture.get("r" + requests[0]++), 200);
                return proxy.openDescriptors() > maxDescriptors - DESCRIPTOR_LIMIT / 2;
            });
            for (String kind : List.of("silent", "half", "idle")) {
                connect(port, MANY_CLIENTS, sentBy(kind));
                assertThat(proxy.openDescriptors()).isLessThanOrEqualTo(maxDescriptors);
                ScriptedServer.await(() -> answers(port, ProxyFixture.get(kind), 200));
            }
            assertThat(proxy.hasLogged(NO_DESCRIPTOR)).isFalse();
        }
    }

    /**
     * The kernel grants far fewer descriptors than the configuration states, and clients use them up. The process logs
     * the failure, although it can't open any file for that, and serves again once the clients have disconnected.
     */
    @Test
    void aLackOfDescriptorsDoesNotEndTheProcess(@TempDir Path folder) throws Exception {
        try (var discovery = new ScriptedServer();
                var proxy = startWithTooFewDescriptors(folder, discovery)) {
            int port = proxy.awaitPort();
            connect(port, DESCRIPTOR_LIMIT, "");
            proxy.awaitLog(NO_DESCRIPTOR);
            disconnectClients();
            ScriptedServer.await(() -> answers(port, READY, 503));
        }
    }

    /**
     * Clients use up all descriptors, and the call to discovery ends. The next call finds no descriptor and fails; it is
     * repeated, and gets through once the clients have disconnected.
     */
    @Test
    void aCallToDiscoveryWithoutADescriptorIsRetried(@TempDir Path folder) throws Exception {
        try (var discovery = new ScriptedServer();
                var proxy = startWithTooFewDescriptors(folder, discovery)) {
            int port = proxy.awaitPort();
            RawConnection watch = discovery.accept();
            watch.read();
            connect(port, DESCRIPTOR_LIMIT, "");
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
