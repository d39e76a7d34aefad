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

/** A planned restart, and the limit on sockets. */
class ProxyServerTest {
    /** Asked of a proxy that is not ready; the answer keeps the connection. */
    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

    private static final String LONGEST_BODY = "x".repeat(HttpLimits.MAX_BODY_BYTES);
    /** So many answers with such a body are more than the kernel holds for both sides. */
    private static final int MORE_THAN_THE_KERNEL_HOLDS = 150;

    /** All of it together, with the module that is in service: it watches, serves, tries elsewhere, and refuses. */
    @Test
    void servesWithTheModule() throws Exception {
        var dead = new ScriptedServer();
        dead.close();
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.inService(dead, backend);
                var client = proxy.client()) {
            backend.always(ScriptedServer.ok("served"));
            RawConnection call = proxy.discovery.accept();
            assertThat(call.read().first()).contains("from=41&hold_ms=0");
            for (int i = 0; i < 10; i++) {
                assertThat(client.send(ProxyFixture.post("r" + i, "pay")).read().body())
                        .isEqualTo("served");
            }
            call.send(ScriptedServer.ok(ProxyFixture.list(42, true)));
            proxy.discovery.accept().read();
            RawConnection.Message answer = client.send(ProxyFixture.get("none")).read();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("Retry-After")).matches("[01]\\.[0-9]{3}");
        }
    }

    /** Told to end while it waits for its agent: it lets nobody in, and that is no fault of its configuration. */
    @Test
    void doesNotListenOnceItIsToldToEnd() throws Exception {
        ProxyConfig config = ProxyConfig.parse(ProxyFixture.config());
        var serve = new ProxyServer(config);
        try {
            serve.drain();
            assertThat(serve.start()).isEmpty();
        } finally {
            serve.stop();
        }
    }

    /** Rule 1 at a restart: what is taken is answered, new clients are served while the front still sends them. */
    @Test
    void answersAllThatItHasTakenBeforeItEnds() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var busy = proxy.client();
                var idle = proxy.client();
                var used = proxy.client()) {
            busy.send(ProxyFixture.get("r1"));
            RawConnection slow = backend.accept();
            slow.read();
            idle.send(READY).read();
            used.send(READY).read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            try (var late = proxy.client()) {
                late.send(ProxyFixture.get("r2"));
                RawConnection attempt = backend.accept();
                attempt.read();
                attempt.send(ScriptedServer.ok("late"));
                assertThat(late.read().body()).isEqualTo("late");
            }
            // Clients that are here keep their connections when no others are let in: elsewhere may be worse.
            while (listens(proxy)) {
                assertThat(used.send(READY).read().header("Connection")).isNull();
            }
            assertThat(used.send(READY).read().header("Connection")).isNull();
            assertThat(drained).isNotDone();
            slow.send(ScriptedServer.ok("slow"));
            assertThat(busy.read().body()).isEqualTo("slow");
            RawConnection.Message answer = used.send(READY).read();
            while (answer.header("Connection") == null) {
                answer = used.send(READY).read();
            }
            assertThat(answer.header("Connection")).isEqualTo("close");
            assertThat(used.ended()).isTrue();
            assertThat(idle.ended()).isTrue();
            assertThat(busy.ended()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /** The end comes for whoever is left, too: nothing that was taken goes without an answer. */
    @Test
    void failsWhatIsStillOpenWhenItHasToEnd() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(ProxyFixture.patient("r1"));
            backend.accept().read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            assertThat(client.read().status()).isEqualTo(502);
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /** What a client has sent ahead begins only when all else has been failed: it is owed an answer as well. */
    @Test
    void answersWhatBeginsWhenItHasToEnd() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(ProxyFixture.patient("r1") + ProxyFixture.patient("r2"));
            backend.accept().read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(client.ended()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /** A connection is idle once its answer has gone out, not before: neither the end nor a crowd cuts an answer short. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void finishesTheAnswersThatClientsAreSlowToRead(boolean crowd) throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (!(event instanceof RequestArrived a)
                                    || !a.requestId().startsWith("held")) {
                                ProxyFixture.sendTo("s0").handle(event, actions);
                            }
                        },
                        128,
                        15_000_000,
                        backend);
                var slow = proxy.client()) {
            backend.always(ScriptedServer.ok(LONGEST_BODY));
            leaveUnread(proxy, slow, MORE_THAN_THE_KERNEL_HOLDS);
            CompletableFuture<Void> drained = CompletableFuture.completedFuture(null);
            if (crowd) {
                // All of them hold a request: the one that holds none is to make room.
                for (int i = 0; i < DescriptorBudget.of(128).clients(); i++) {
                    RawConnection client = proxy.client();
                    clients.add(client);
                    client.send(ProxyFixture.get("held" + i));
                    proxy.next(RequestArrived.class);
                }
            } else {
                RawConnection idle = proxy.client();
                clients.add(idle);
                idle.send(READY).read();
                drained = CompletableFuture.runAsync(proxy::drain);
                assertThat(idle.ended()).isTrue();
            }
            readAll(slow, MORE_THAN_THE_KERNEL_HOLDS);
            drained.get(10, TimeUnit.SECONDS);
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }

    /** What comes while a connection's last answer is still being written would be sent on, and lost with the connection. */
    @Test
    @Timeout(30)
    void nothingBeginsBehindALastAnswer() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var slow = proxy.client()) {
            backend.always(ScriptedServer.ok(LONGEST_BODY));
            leaveUnread(proxy, slow, MORE_THAN_THE_KERNEL_HOLDS - 1);
            slow.send(ProxyFixture.get("last").replace("Host:", "Connection: close\r\nHost:"));
            proxy.next(AttemptEnded.class);
            slow.send(ProxyFixture.get("behind"));
            proxy.settle();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
            readAll(slow, MORE_THAN_THE_KERNEL_HOLDS);
            assertThat(slow.ended()).isTrue();
        }
    }

    /** As above, where a drain closes a connection that holds no request: the close waits for the answers before it. */
    @Test
    @Timeout(30)
    void nothingBeginsOnAConnectionThatADrainCloses() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var slow = proxy.client();
                var idle = proxy.client()) {
            backend.always(ScriptedServer.ok(LONGEST_BODY));
            leaveUnread(proxy, slow, MORE_THAN_THE_KERNEL_HOLDS);
            idle.send(READY).read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            assertThat(idle.ended()).isTrue();
            slow.send(ProxyFixture.get("behind"));
            readAll(slow, MORE_THAN_THE_KERNEL_HOLDS);
            assertThat(slow.ended()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }

    /** A close over what the client is still sending would reset the connection, and with it what the client has yet to read. */
    @Test
    @Timeout(30)
    void aLastAnswerIsNotCutOffByWhatTheClientStillSends() throws Exception {
        // More than the client's side of the kernel takes unread, less than both sides hold.
        int answers = 8;
        var goOn = new CountDownLatch(1);
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a
                                    && a.requestId().equals("last")) {
                                ScriptedServer.await(goOn);
                                actions.accept(new Reject(a.requestId(), 0));
                            } else {
                                ProxyFixture.sendTo("s0").handle(event, actions);
                            }
                        },
                        backend);
                var slow = proxy.client()) {
            backend.always(ScriptedServer.ok(LONGEST_BODY));
            leaveUnread(proxy, slow, answers);
            slow.send(ProxyFixture.get("last").replace("Host:", "Connection: close\r\nHost:"));
            proxy.next(RequestArrived.class);
            slow.send(ProxyFixture.get("behind"));
            goOn.countDown();
            proxy.settle();
            readAll(slow, answers);
            assertThat(slow.read().status()).isEqualTo(503);
            assertThat(slow.ended()).isTrue();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
            // It stays, but nobody waits for it.
            ScriptedServer.until(() -> proxy.connected() == 0);
        }
    }

    /** Has requests answered whose answers the client does not read. */
    private static void leaveUnread(ProxyFixture proxy, RawConnection client, int answers) throws Exception {
        for (int i = 0; i < answers; i++) {
            client.send(ProxyFixture.get("r" + i));
            proxy.next(AttemptEnded.class);
            proxy.settle();
        }
    }

    private static void readAll(RawConnection client, int answers) throws IOException {
        for (int i = 0; i < answers; i++) {
            assertThat(client.read().body()).isEqualTo(LONGEST_BODY);
        }
    }

    private static boolean listens(ProxyFixture proxy) {
        try {
            proxy.client().close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Connections that hold no request, idle or silent, are given up for clients that ask something. */
    @Test
    void givesUpConnectionsThatHoldNoRequest() throws Exception {
        var crowd = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), 128, 15_000_000, backend)) {
            backend.always(ScriptedServer.ok("x"));
            RawConnection idle = proxy.client();
            crowd.add(idle);
            assertThat(idle.send(READY).read().status()).isEqualTo(503);
            for (int i = 0; i < 300; i++) {
                crowd.add(proxy.client());
            }
            try (var client = proxy.client()) {
                assertThat(client.send(ProxyFixture.get("r1")).read().status()).isEqualTo(200);
            }
            assertThat(idle.ended()).isTrue();
        } finally {
            for (RawConnection client : crowd) {
                client.close();
            }
        }
    }

    /** Where places run short, answers end their connections: no client finds its own closed in its face. */
    @Test
    void answersEndTheirConnectionsInACrowd() throws Exception {
        var crowd = new ArrayList<RawConnection>();
        try (var proxy = new ProxyFixture((event, actions) -> {}, 128, 15_000_000)) {
            for (int i = 0; i < 40; i++) {
                crowd.add(proxy.client().send(ProxyFixture.get("r" + i)));
                proxy.next(RequestArrived.class);
            }
            RawConnection more = proxy.client();
            crowd.add(more);
            assertThat(more.send(READY).read().header("Connection")).isEqualTo("close");
        } finally {
            for (RawConnection client : crowd) {
                client.close();
            }
        }
    }

    /** Where all hold a request, whoever comes next waits to be accepted, and is served when there is room again. */
    @Test
    void acceptsAgainOnceThereIsRoom() throws Exception {
        var crowd = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a
                                    && a.requestId().startsWith("last")) {
                                ProxyFixture.sendTo("s0").handle(event, actions);
                            }
                        },
                        128,
                        15_000_000,
                        backend)) {
            backend.always(ScriptedServer.ok("x"));
            for (int i = 0; i < 100; i++) {
                crowd.add(proxy.client().send(ProxyFixture.get("r" + i)));
            }
            RawConnection last = proxy.client().send(ProxyFixture.get("last"));
            crowd.add(last);
            // The silent ones are answered in the end, by the proxy, and make room.
            assertThat(last.read()).isNotNull();
            for (RawConnection client : List.copyOf(crowd).subList(0, 20)) {
                assertThat(client.read().status()).isEqualTo(502);
            }
        } finally {
            for (RawConnection client : crowd) {
                client.close();
            }
        }
    }
}
