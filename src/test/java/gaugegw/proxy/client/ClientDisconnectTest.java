package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that leave while their requests wait, and those that only end their sending. */
class ClientDisconnectTest {
    private static final ProxyFixture.Module SILENT = (event, actions) -> {};

    private static void leave(RawConnection client, boolean reset) throws IOException {
        if (reset) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }

    private static UnaryOperator<String> knowing(FullBacklog backend) {
        String list = "\"servers\":[" + ProxyFixture.entry("s0", backend.address(), "ready") + "]";
        return c -> ProxyFixture.PATIENT.apply(c).replace("\"servers\":[]", list);
    }

    /** Holds the proxy's loop up. */
    private static void hold(CountDownLatch latch) {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Leaves, and waits until the proxy has not read the connection for long enough to do so before an attempt. */
    private static void leaveUnread(RawConnection client, String how) throws Exception {
        if (how.equals("end")) {
            client.socket.shutdownOutput();
        } else {
            leave(client, how.equals("reset"));
        }
        long from = System.nanoTime();
        ScriptedServer.until(() -> System.nanoTime() - from > 40_000_000);
    }

    /**
     * The loop is held up as the client leaves: then an answer to {@code r1} brings the first attempt of {@code r2}, which
     * was queued, or a retry of {@code r1}.
     */
    @ParameterizedTest
    @CsvSource({"r2,close", "r2,reset", "r2,end", "r1,close", "r1,reset", "r1,end"})
    @Timeout(30)
    void noAttemptBeginsWhereTheCloseLiesUnread(String id, String how) throws Exception {
        var release = new CountDownLatch(1);
        ProxyFixture.Module module = (event, actions) -> {
            if (event instanceof RequestArrived a && !a.requestId().equals("r2")) {
                actions.accept(new StartAttempt(a.requestId(), "s0", 0));
            } else if (event instanceof AttemptEnded e && e.outcome() == AttemptOutcome.ERROR) {
                hold(release);
                actions.accept(new StartAttempt(id, "s0", 0));
            }
        };
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(module, ProxyFixture.PATIENT, backend);
                var first = proxy.client().send(ProxyFixture.patient("r1"));
                var queued = proxy.client()) {
            RawConnection attempt = backend.accept();
            attempt.read();
            queued.send(ProxyFixture.patient("r2"));
            while (!proxy.next(RequestArrived.class).requestId().equals("r2")) {
                // the one before
            }
            try {
                attempt.send(ScriptedServer.answer("500 Internal Server Error", "x"));
                proxy.next(AttemptEnded.class);
                leaveUnread(id.equals("r1") ? first : queued, how);
            } finally {
                release.countDown();
            }
            try (var next = proxy.client()) {
                next.send(ProxyFixture.patient("next"));
                assertThat(attempt.read().header("X-Request-ID")).isEqualTo("next");
                assertThat(proxy.next(ClientDisconnected.class).requestId()).isEqualTo(id);
                AttemptEnded end = proxy.next(AttemptEnded.class);
                assertThat(end.requestId()).isEqualTo(id);
                assertThat(end.outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
                assertThat(end.requestEnded()).isTrue();
            }
        }
    }

    /** The connection to the backend comes up before the client leaves, and both lie unread. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset", "end"})
    @Timeout(30)
    void nothingIsWrittenToANewConnectionWhereTheCloseLiesUnread(String how) throws Exception {
        var release = new CountDownLatch(1);
        ProxyFixture.Module module = (event, actions) -> {
            if (event instanceof RequestArrived a && a.requestId().equals("hold")) {
                hold(release);
            } else {
                ProxyFixture.sendTo("s0").handle(event, actions);
            }
        };
        try (var backend = new FullBacklog();
                var proxy = new ProxyFixture(module, knowing(backend));
                var client = proxy.client().send(ProxyFixture.patient("r1"));
                var holding = proxy.client()) {
            proxy.next(RequestArrived.class);
            proxy.settle();
            RawConnection attempt;
            try {
                holding.send(ProxyFixture.patient("hold"));
                proxy.next(RequestArrived.class);
                attempt = backend.admit();
                leaveUnread(client, how);
            } finally {
                release.countDown();
            }
            try (attempt) {
                assertThat(attempt.ended()).isTrue();
            }
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
        }
    }

    /** With the module that is in service: what is left of the queue is sent when there is room, and the rest is not. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestWhoseClientLeavesWhileItWaitsIsNotSentOn(boolean reset) throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.inService(ProxyFixture.PATIENT, backend)) {
            var attempts = new ArrayList<RawConnection>();
            for (int i = 0; clients.size() < proxy.sends.size() + 2; i++) {
                clients.add(proxy.client().send(ProxyFixture.patient("r" + i)));
                proxy.next(RequestArrived.class);
                proxy.settle();
            }
            List<String> sent = proxy.sends.stream().map(s -> s.requestId()).toList();
            for (int i = 0; i < sent.size(); i++) {
                attempts.add(backend.accept());
            }
            int waiting = 0;
            while (sent.contains("r" + waiting)) {
                waiting++;
            }
            leave(clients.get(waiting), reset);
            assertThat(proxy.next(ClientDisconnected.class).requestId()).isEqualTo("r" + waiting);
            var served = new ArrayList<String>(sent);
            for (int i = 0; i < attempts.size(); i++) {
                RawConnection attempt = attempts.get(i);
                attempt.read();
                attempt.send(ScriptedServer.answer("200 OK", "x", "Connection: close"));
                proxy.next(AttemptEnded.class);
                proxy.settle();
                while (served.size() < proxy.sends.size()) {
                    served.add(List.copyOf(proxy.sends).get(served.size()).requestId());
                    attempts.add(backend.accept());
                }
            }
            assertThat(served)
                    .hasSize(clients.size() - 1)
                    .doesNotContain("r" + waiting)
                    .doesNotHaveDuplicates();
            // Nothing is kept of it: not its place, nor its connection, nor a timer that would answer it.
            assertThat(proxy.held()).isZero();
            ScriptedServer.until(() -> proxy.connected() == clients.size() - 1);
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }

    /** An attempt that still waits for its connection has not been sent: it is dropped even where none may be called off. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatStillConnectsIsNotSentForAClientThatHasLeft(boolean reset) throws Exception {
        try (var full = new FullBacklog();
                var proxy = new ProxyFixture(
                        ProxyFixture.watching("s1"),
                        ProxyFixture.PATIENT.andThen(c -> c.replace("\"cancel\":true", "\"cancel\":false"))::apply);
                var client = proxy.client()) {
            proxy.list(ProxyFixture.entry("s1", full.address(), "ready"));
            client.send(ProxyFixture.patient("r1"));
            proxy.next(RequestArrived.class);
            leave(client, reset);
            assertThat(proxy.next(ClientDisconnected.class).requestId()).isEqualTo("r1");
            AttemptEnded end = proxy.next(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            assertThat(end.requestEnded()).isTrue();
            proxy.settle();
            assertThat(proxy.held()).isZero();
        }
    }

    /** As above, where an earlier attempt never left the proxy. */
    @Test
    void aRetryThatStillConnectsIsNotSentForAClientThatHasLeft() throws Exception {
        try (var full = new FullBacklog();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a) {
                                actions.accept(new StartAttempt(a.requestId(), "unknown", 0));
                            } else if (event instanceof AttemptEnded e && !e.requestEnded()) {
                                actions.accept(new StartAttempt(e.requestId(), "s0", 0));
                            }
                        },
                        knowing(full))) {
            RawConnection client = proxy.client().send(ProxyFixture.patient("r1"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            client.close();
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            ScriptedServer.until(() -> proxy.held() == 0);
        }
    }

    /** An attempt that is out goes on where it may not be called off; its answer is nobody's. */
    @Test
    void whatIsOutGoesOnWhereItMayNotBeCalledOff() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.inService(
                        c -> ProxyFixture.PATIENT.apply(c).replace("\"cancel\":true", "\"cancel\":false"), backend)) {
            RawConnection attempt;
            try (var client = proxy.client()) {
                client.send(ProxyFixture.patient("r1"));
                attempt = backend.accept();
                attempt.read();
            }
            proxy.next(ClientDisconnected.class);
            attempt.send(ScriptedServer.ok("x"));
            AttemptEnded end = proxy.next(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            assertThat(end.requestEnded()).isTrue();
            proxy.settle();
            assertThat(proxy.held()).isZero();
        }
    }

    /** What a client sends behind its request hides neither its close nor its reset. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientThatFloodsAndLeavesIsNoticed(boolean reset) throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            client.send(ProxyFixture.patient("r1") + "RUBBISH\r\n\r\n");
            proxy.next(RequestArrived.class);
            String more = "x".repeat(65_536);
            try {
                for (int i = 0; i < 16; i++) {
                    client.send(more);
                }
            } catch (IOException e) {
                // It may be cut off before all of it is written.
            }
            leave(client, reset);
            assertThat(proxy.next(ClientDisconnected.class).requestId()).isEqualTo("r1");
            ScriptedServer.until(() -> proxy.connected() == 0);
        }
    }

    /** It sends nothing more, and may have gone; but it may still read, and is owed one whole answer. */
    @Test
    void aClientThatEndsItsSendingIsAnswered() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(ProxyFixture.patient("r1"));
            backend.accept().read();
            client.socket.shutdownOutput();
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(client.ended()).isTrue();
            assertThat(proxy.next(ClientDisconnected.class).requestId()).isEqualTo("r1");
        }
    }

    /** Its requests are answered in their order, also those sent ahead; what has not begun has run nowhere. */
    @Test
    void aClientThatSendsAheadAndEndsItsSendingIsAnswered() throws Exception {
        try (var proxy = new ProxyFixture(SILENT);
                var client = proxy.client()) {
            client.send(ProxyFixture.patient("r1") + ProxyFixture.patient("r2"));
            proxy.next(RequestArrived.class);
            client.socket.shutdownOutput();
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(client.ended()).isTrue();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }
}
