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

/** Two things that happen at once: the loop is held up until both have, and then finds them together. */
class SimultaneousEventsTest {
    /** Sends as {@link ProxyFixture#sendTo} does, and stands still when a request arrives that is named so. */
    private static ProxyFixture.Module standingStillAt(String id, CountDownLatch goOn, long firstTimeoutUs) {
        return (event, actions) -> {
            if (event instanceof RequestArrived a && a.requestId().equals(id)) {
                ScriptedServer.await(goOn);
            }
            boolean first = event instanceof RequestArrived a && a.requestId().equals("r1");
            ProxyFixture.sendTo("s0", first ? firstTimeoutUs : 0).handle(event, actions);
        };
    }

    private static void arrived(ProxyFixture proxy, String id) throws InterruptedException {
        while (!proxy.next(RequestArrived.class).requestId().equals(id)) {
            // those before it
        }
    }

    /** What has come by then, the loop has not read: a connection that brings anything, or has ended, carries nothing more. */
    @ParameterizedTest
    @ValueSource(strings = {"second answer", "half a line", "close", "reset"})
    void somethingComesAsAConnectionIsUsedAgain(String what) throws Exception {
        var goOn = new CountDownLatch(1);
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(standingStillAt("r2", goOn, 0), ProxyFixture.PATIENT, backend);
                var client = proxy.client()) {
            client.send(ProxyFixture.patient("r1"));
            RawConnection attempt = backend.accept();
            attempt.read();
            attempt.send(ScriptedServer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            long answered = System.nanoTime();
            client.send(ProxyFixture.patient("r2"));
            arrived(proxy, "r2");
            switch (what) {
                case "second answer" -> attempt.send(ScriptedServer.ok("not asked for"));
                case "half a line" -> attempt.send("HTTP/1.");
                case "close" -> attempt.close();
                default -> {
                    attempt.socket.setSoLinger(true, 0);
                    attempt.close();
                }
            }
            // A connection may be used again once it has been idle for some milliseconds.
            ScriptedServer.until(() -> System.nanoTime() - answered > 20_000_000);
            backend.always(ScriptedServer.ok("y"));
            goOn.countDown();
            assertThat(client.read().body()).isEqualTo("y");
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            proxy.settle();
            assertThat(proxy.held()).isZero();
        }
    }

    /** Whichever is seen first counts, and it alone: one outcome for the module, one answer for the client. */
    @Test
    void anAnswerComesAsItsTimeOutFires() throws Exception {
        var goOn = new CountDownLatch(1);
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(standingStillAt("other", goOn, 100_000), ProxyFixture.PATIENT, backend);
                var client = proxy.client();
                var other = proxy.client()) {
            client.send(ProxyFixture.patient("r1"));
            RawConnection attempt = backend.accept();
            attempt.read();
            long sent = System.nanoTime();
            other.send(ProxyFixture.patient("other"));
            arrived(proxy, "other");
            attempt.send(ScriptedServer.ok("x"));
            ScriptedServer.until(() -> System.nanoTime() - sent > 150_000_000);
            backend.always(ScriptedServer.ok("y"));
            // Where it is not given up it is used again.
            attempt.always(ScriptedServer.ok("y"), new ArrayDeque<>());
            goOn.countDown();
            AttemptEnded end = proxy.next(AttemptEnded.class);
            assertThat(end.requestId()).isEqualTo("r1");
            assertThat(end.outcome()).isIn(AttemptOutcome.SUCCESS, AttemptOutcome.TIMEOUT);
            assertThat(client.read().status()).isEqualTo(end.outcome() == AttemptOutcome.SUCCESS ? 200 : 502);
            assertThat(proxy.next(AttemptEnded.class).requestId()).isEqualTo("other");
            proxy.settle();
            assertThat(proxy.events).noneMatch(AttemptEnded.class::isInstance);
            assertThat(proxy.held()).isZero();
            // And nothing that came late is the next one's answer.
            assertThat(client.send(ProxyFixture.patient("r3")).read().body()).isEqualTo("y");
        }
    }

    /** Nothing is owed to the client, but the module hears of the attempt once, and nothing is kept. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientLeavesAsItsAnswerComes(boolean reset) throws Exception {
        var goOn = new CountDownLatch(1);
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(standingStillAt("other", goOn, 0), ProxyFixture.PATIENT, backend);
                var other = proxy.client()) {
            RawConnection client = proxy.client().send(ProxyFixture.patient("r1"));
            RawConnection attempt = backend.accept();
            attempt.read();
            other.send(ProxyFixture.patient("other"));
            arrived(proxy, "other");
            attempt.send(ScriptedServer.ok("x"));
            client.socket.setSoLinger(reset, 0);
            client.close();
            backend.always(ScriptedServer.ok("y"));
            goOn.countDown();
            AttemptEnded end = proxy.next(AttemptEnded.class);
            assertThat(end.requestId()).isEqualTo("r1");
            assertThat(end.outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            assertThat(other.read().body()).isEqualTo("y");
            assertThat(proxy.next(AttemptEnded.class).requestId()).isEqualTo("other");
            proxy.settle();
            assertThat(proxy.events).noneMatch(AttemptEnded.class::isInstance);
            assertThat(proxy.held()).isZero();
            // Two of them: the one that asked just now may not be gone yet.
            ScriptedServer.until(() -> proxy.connected() == 1);
        }
    }

    /** What a backend has done is the client's, but its connection is not kept for what it no longer wants. */
    @Test
    void anAnswerComesAsItsBackendBeginsToDrain() throws Exception {
        var goOn = new CountDownLatch(1);
        ProxyFixture.Module watching = ProxyFixture.watching("s0");
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a
                                    && a.requestId().equals("other")) {
                                ScriptedServer.await(goOn);
                            } else {
                                watching.handle(event, actions);
                            }
                        },
                        ProxyFixture.PATIENT,
                        backend);
                var client = proxy.client();
                var other = proxy.client()) {
            RawConnection watch = proxy.discovery.accept();
            watch.read();
            client.send(ProxyFixture.patient("r1"));
            RawConnection attempt = backend.accept();
            attempt.read();
            other.send(ProxyFixture.patient("other"));
            arrived(proxy, "other");
            attempt.send(ScriptedServer.ok("x"));
            watch.send(ScriptedServer.ok(
                    ProxyFixture.list(42, false, ProxyFixture.entry("s0", backend.address(), "draining"))));
            goOn.countDown();
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            assertThat(attempt.ended()).isTrue();
            client.send(ProxyFixture.patient("r2"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /** With the module that is in service: what waited when a backend began to drain goes elsewhere. */
    @Test
    void aChangeIsToldWhileRequestsWait() throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var other = new ScriptedServer();
                var proxy = ProxyFixture.inService(ProxyFixture.PATIENT, backend)) {
            while (clients.size() < proxy.sends.size() + 2) {
                clients.add(proxy.client().send(ProxyFixture.patient("r" + clients.size())));
                proxy.next(RequestArrived.class);
                proxy.settle();
            }
            int sent = proxy.sends.size();
            proxy.list(
                    ProxyFixture.entry("s0", backend.address(), "draining"),
                    ProxyFixture.entry("s1", other.address(), "ready"));
            other.always(ScriptedServer.ok("x"));
            while (proxy.next(EndpointUpdate.class).kind() != UpdateKind.DELTA) {
                // what it had in its last life
            }
            proxy.settle();
            // Those that are out end: for what waits there is room then, however long that took.
            for (RawConnection client : clients.subList(0, sent)) {
                backend.accept();
                client.close();
                proxy.next(AttemptEnded.class);
            }
            proxy.settle();
            List<StartAttempt> later = List.copyOf(proxy.sends).subList(sent, proxy.sends.size());
            assertThat(later).isNotEmpty().allMatch(s -> s.endpointId().equals("s1"));
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }
}
