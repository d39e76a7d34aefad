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

/** A crowd that asks for nothing keeps nobody else from a descriptor: discovery, the front's probes, requests. */
class DescriptorReserveTest {
    private static final int LIMIT = 128;
    private static final int CROWD = 400;
    /** What the runtime says of a descriptor that the kernel refuses. */
    private static final String SHORTAGE = "Too many open files";

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

    private final List<RawConnection> crowd = new ArrayList<>();

    @AfterEach
    void dispersed() throws IOException {
        for (RawConnection client : crowd) {
            client.close();
        }
    }

    private void crowd(int port, int size, String sent) throws IOException {
        for (int i = 0; i < size; i++) {
            RawConnection client = RawConnection.to(port);
            crowd.add(client);
            try {
                client.send(sent);
            } catch (IOException e) {
                // It has been evicted already.
            }
        }
    }

    private static boolean answers(int port, String request, int status) {
        try (RawConnection client = RawConnection.to(port)) {
            RawConnection.Message answer = client.send(request).read();
            return answer != null && answer.status() == status;
        } catch (IOException e) {
            return false;
        }
    }

    /** What the crowd has sent: nothing, a whole request whose answer leaves the connection idle, half a request. */
    private static String opening(String kind) {
        return switch (kind) {
            case "silent" -> "";
            case "idle" -> READY;
            default -> ProxyFixture.post("half", "body").replace("body", "bo");
        };
    }

    @ParameterizedTest
    @CsvSource({"silent,false", "silent,true", "idle,false", "idle,true", "half,false", "half,true"})
    void getsItsListAndServesInACrowd(String kind, boolean refuses) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.inService(LIMIT)) {
            backend.always(ScriptedServer.ok("served"));
            crowd(proxy.address.getPort(), CROWD, opening(kind));
            if (refuses) {
                proxy.discovery.accept().close();
            }
            proxy.settle();
            assertThat(proxy.connected()).isPositive();
            proxy.discovery.always(ScriptedServer.ok(
                    ProxyFixture.list(42, true, ProxyFixture.entry("s0", backend.address(), "ready"))));
            ScriptedServer.until(() -> answers(proxy.address.getPort(), READY, 200));
            assertThat(answers(proxy.address.getPort(), ProxyFixture.get("r1"), 200))
                    .isTrue();
        }
    }

    /** What turns out to be spoilt as it is taken still holds its descriptor: another is opened only where there is room. */
    @Test
    @Timeout(30)
    void aConnectionInPlaceOfASpoiltOneNeedsRoomToo() throws Exception {
        int backends = DescriptorBudget.of(LIMIT).maxConnections() / 2;
        int requests = backends - 1;
        var read = new CountDownLatch(1);
        var spoilt = new CountDownLatch(1);
        ProxyFixture.Module module = (event, actions) -> {
            if (event instanceof RequestArrived a && a.requestId().equals("held")) {
                ScriptedServer.await(read);
                actions.accept(new Reject(a.requestId(), 0));
            } else if (event instanceof RequestArrived a) {
                if (a.requestId().startsWith("again")) {
                    ScriptedServer.await(spoilt);
                }
                ProxyFixture.sendTo("s" + a.requestId().replaceAll("\\D", "")).handle(event, actions);
            } else {
                ProxyFixture.sendTo("").handle(event, actions);
            }
        };
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        module,
                        LIMIT,
                        15_000_000,
                        Collections.nCopies(backends, backend).toArray(ScriptedServer[]::new))) {
            crowd(proxy, "first", backends);
            var attempts = new ArrayList<RawConnection>();
            for (int i = 0; i < backends; i++) {
                attempts.add(backend.accept());
            }
            for (RawConnection attempt : attempts) {
                attempt.read();
                attempt.send(ScriptedServer.ok("x"));
                proxy.next(AttemptEnded.class);
            }
            long answered = System.nanoTime();
            dispersed();
            crowd.clear();
            ScriptedServer.until(() -> proxy.connected() == 0 && System.nanoTime() - answered > 20_000_000);
            crowd(proxy.address.getPort(), requests, "");
            ScriptedServer.until(() -> proxy.connected() == requests);
            crowd(proxy, "held", 1);
            // All are read in one turn of the loop, and their connections spoilt in the middle of it.
            for (int i = 0; i < requests; i++) {
                crowd.get(i).send(ProxyFixture.patient("again" + i));
            }
            read.countDown();
            proxy.next(RequestArrived.class);
            for (RawConnection attempt : attempts) {
                attempt.send("not asked for");
            }
            backend.always(ScriptedServer.ok("x"));
            spoilt.countDown();
            var outcomes = new ArrayList<AttemptOutcome>();
            for (int i = 0; i < requests; i++) {
                outcomes.add(proxy.next(AttemptEnded.class).outcome());
            }
            assertThat(outcomes).contains(AttemptOutcome.SUCCESS).containsOnlyOnce(AttemptOutcome.NOT_SENT);
        }
    }

    /** Clients with a request each, all of which have arrived. */
    private void crowd(ProxyFixture proxy, String name, int size) throws Exception {
        for (int i = 0; i < size; i++) {
            crowd(proxy.address.getPort(), 1, ProxyFixture.patient(size == 1 ? name : name + i));
            proxy.next(RequestArrived.class);
        }
    }

    /** The kernel is the witness: one descriptor too many fails, and the failure is logged. */
    @Test
    void theProcessStaysUnderItsLimit(@TempDir Path folder) throws Exception {
        int most = LIMIT + ProxyProcess.FURTHER_JARS;
        try (var backend = new ScriptedServer();
                var discovery = new ScriptedServer();
                var proxy = start(folder, config(discovery, LIMIT), most)) {
            backend.always(ScriptedServer.ok("served"));
            String[] entries = IntStream.range(0, LIMIT)
                    .mapToObj(i -> ProxyFixture.entry("s" + i, backend.address(), "ready"))
                    .toArray(String[]::new);
            discovery.always(ScriptedServer.ok(ProxyFixture.list(42, true, entries)));
            int port = proxy.port();
            ScriptedServer.until(() -> answers(port, READY, 200));
            assertThat(proxy.jars()).isEqualTo(1 + ProxyProcess.FURTHER_JARS);
            // Idle connections to backends first, as many as it keeps.
            var requests = new int[1];
            ScriptedServer.until(() -> {
                answers(port, ProxyFixture.get("r" + requests[0]++), 200);
                return proxy.descriptors() > most - LIMIT / 2;
            });
            for (String kind : List.of("silent", "half", "idle")) {
                crowd(port, CROWD, opening(kind));
                assertThat(proxy.descriptors()).isLessThanOrEqualTo(most);
                ScriptedServer.until(() -> answers(port, ProxyFixture.get(kind), 200));
            }
            assertThat(proxy.logs(SHORTAGE)).isFalse();
        }
    }

    /** The log of the failure is written by a process that can't open any file for it. */
    @Test
    void aLackOfDescriptorsDoesNotEndTheProcess(@TempDir Path folder) throws Exception {
        try (var discovery = new ScriptedServer();
                var proxy = starved(folder, discovery)) {
            int port = proxy.port();
            crowd(port, LIMIT, "");
            proxy.awaitLog(SHORTAGE);
            dispersed();
            ScriptedServer.until(() -> answers(port, READY, 503));
        }
    }

    /** However the descriptors ran out, discovery is asked again once there are some. */
    @Test
    void aCallWithoutADescriptorIsMadeAgain(@TempDir Path folder) throws Exception {
        try (var discovery = new ScriptedServer();
                var proxy = starved(folder, discovery)) {
            int port = proxy.port();
            RawConnection call = discovery.accept();
            call.read();
            crowd(port, LIMIT, "");
            ScriptedServer.until(() -> proxy.descriptors() == LIMIT / 2);
            call.close();
            proxy.awaitLog("no connection");
            dispersed();
            assertThat(discovery.accept().read()).isNotNull();
        }
    }

    /** Starts a proxy that is told of far more descriptors than it gets. */
    private static ProxyProcess starved(Path folder, ScriptedServer discovery) throws IOException {
        return start(folder, config(discovery, 1_024), LIMIT / 2);
    }

    private static ProxyProcess start(Path folder, String config, int descriptors) throws IOException {
        return ProxyProcess.start(Files.writeString(folder.resolve("config.json"), config), descriptors);
    }

    private static String config(ScriptedServer discovery, int limit) {
        return ProxyFixture.config(discovery.address()).replace("\"sockets\":1024", "\"sockets\":" + limit);
    }
}
