package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.CloseIdleConnections;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.FullBacklog;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What becomes of an attempt: rule 2 rests on 'never ran' being said only where that is certain. */
class UpstreamClientTest {
    private static final String OK_X = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

    @ParameterizedTest
    @CsvSource({
        "503 Unavailable,X-Not-Processed: 1,REJECTED",
        "504 Late,X-Not-Processed: 1,REJECTED",
        "503 Unavailable,X-Not-Processed: 0,ERROR",
        "504 Late,X-Other: 1,ERROR",
        "500 Error,X-Not-Processed: 1,ERROR",
        "404 Unknown,X-Other: 1,ERROR",
        "200 OK,X-Not-Processed: 1,SUCCESS"
    })
    void tellsOutcomesByTheirAnswers(String status, String header, AttemptOutcome outcome) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            backend.always(ScriptedServer.answer(status, "x", header));
            client.send(ProxyFixture.get("r1"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(outcome);
            assertThat(client.read().status()).isEqualTo(outcome == AttemptOutcome.SUCCESS ? 200 : 502);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "''",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n'"
    })
    void aBreakAfterTheLastByteMayHaveRun(String part) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            try (RawConnection attempt = backend.accept()) {
                attempt.read();
                attempt.send(part);
            }
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.RESET);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /** Over HTTP an answer may have no length, and is whole at the end of its connection: a reset is no end. */
    @ParameterizedTest
    @CsvSource({"false,SUCCESS,200", "true,RESET,502"})
    void anAnswerWithoutALengthIsWholeAtItsEndAlone(boolean reset, AttemptOutcome outcome, int status)
            throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            try (RawConnection attempt = backend.accept()) {
                attempt.read();
                attempt.send("HTTP/1.1 200 OK\r\n\r\nhalf");
                if (reset) {
                    attempt.socket.setSoLinger(true, 0);
                }
            }
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(outcome);
            assertThat(client.read().status()).isEqualTo(status);
        }
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        var backend = new ScriptedServer();
        backend.close();
        try (var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.CONNECT_FAILED);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /** Something came back, so it may have run; and nothing that follows on that connection is taken for an answer. */
    @Test
    void rubbishIsAnErrorAndEndsTheConnection() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            RawConnection attempt = backend.attemptFor(client, "r1");
            attempt.send("rubbish\r\n\r\n" + ScriptedServer.ok("not asked for"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.ERROR);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** A connection is used again a moment after its answer, when it has shown whether it brings anything else. */
    private static void settle() throws InterruptedException {
        long from = System.nanoTime();
        while (System.nanoTime() - from < 20_000_000) {
            Thread.sleep(1);
        }
    }

    /** A backend that resets whatever comes on a connection that has stood idle gets new connections before long. */
    @Test
    void connectionsThatAreResetAfterStandingIdleAreNotUsedAgain() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            ScriptedServer.background(() -> {
                while (true) {
                    RawConnection connection = backend.accept();
                    ScriptedServer.background(() -> {
                        connection.read();
                        connection.send(OK_X);
                        connection.read();
                        connection.close();
                    });
                }
            });
            int resets = 0;
            for (int served = 0; served < 2; ) {
                settle();
                client.send(ProxyFixture.get("r" + resets + "-" + served));
                served = client.read().status() == 200 ? served + 1 : 0;
                resets += served == 0 ? 1 : 0;
                assertThat(resets).isLessThan(20);
            }
        }
    }

    /** What this side gives up is no reset: a backend that hangs now and then keeps its connections in use. */
    @Test
    void aTimeOutTellsNothingOfIdleConnections() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a) {
                                actions.accept(new StartAttempt(
                                        a.requestId(), "s0", a.requestId().startsWith("hangs") ? 30_000 : 0));
                            } else {
                                ProxyFixture.sendTo("s0").handle(event, actions);
                            }
                        },
                        backend);
                var client = proxy.client()) {
            for (int i = 0; i < 8; i++) {
                client.send(ProxyFixture.get("r" + i));
                RawConnection attempt = backend.accept();
                attempt.read();
                attempt.send(OK_X);
                assertThat(client.read().status()).isEqualTo(200);
                settle();
                client.send(ProxyFixture.get("hangs" + i));
                assertThat(attempt.read().header("X-Request-ID")).isEqualTo("hangs" + i);
                assertThat(client.read().status()).isEqualTo(502);
                assertThat(attempt.ended()).isTrue();
            }
        }
    }

    /** The request has run, and no answer that can be believed will follow: that is told now, not when time is up. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 0x1\r\n\r\nx",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\nzz\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
                "HTTP/1.1 101 Switching Protocols\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                "HTTP/1.1 200 OK\r\nX-Pad: p\r\n",
                "\0noise without end"
            })
    void aSpoiltAnswerMayHaveRunAndIsToldAtOnce(String answer) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            RawConnection attempt = backend.attemptFor(client, "r1");
            attempt.send(answer);
            AttemptEnded end = proxy.next(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(AttemptOutcome.ERROR);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** What never ends is cut off by its length, long before it has filled any memory. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 103 Early Hints\r\n\r\n", "X-Pad: pppppppp\r\n"})
    void anAnswerWithoutEndIsCutOff(String more) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            RawConnection attempt = backend.attemptFor(client, "r1");
            // It may be cut off before all of it is written.
            ScriptedServer.background(
                    () -> attempt.send((more.startsWith("HTTP") ? "" : "HTTP/1.1 200 OK\r\n") + more.repeat(10_000)));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.ERROR);
        }
    }

    /** A good answer is the client's, whatever comes with it; only its connection is of no further use. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxnoise",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx\r\n\0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny"
            })
    void whatComesBehindAnAnswerEndsItsConnection(String answer) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            RawConnection attempt = backend.attemptFor(client, "r1");
            attempt.send(answer);
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(attempt.ended()).isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + OK_X,
                "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT ?\r\nContent-Length: 1\r\n\r\nx"
            })
    void aGoodAnswerIsServedAndItsConnectionKept(String answer) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            RawConnection attempt = backend.attemptFor(client, "r1");
            attempt.send(answer);
            assertThat(client.read().body()).isEqualTo("x");
            settle();
            client.send(ProxyFixture.get("r2"));
            assertThat(attempt.read().header("X-Request-ID")).isEqualTo("r2");
            attempt.send(OK_X);
            assertThat(client.read().body()).isEqualTo("x");
            // Out of turn, and not even a whole line: what follows on this connection is nobody's answer.
            attempt.send("noise");
            assertThat(attempt.ended()).isTrue();
        }
    }

    @Test
    void anAnswerBehindAnAnswerIsNotTakenForTheNext() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            RawConnection attempt = backend.attemptFor(client, "r1");
            attempt.send(ScriptedServer.ok("one") + ScriptedServer.ok("two"));
            assertThat(client.read().body()).isEqualTo("one");
            assertThat(attempt.ended()).isTrue();
            RawConnection next = backend.attemptFor(client, "r2");
            next.send(ScriptedServer.ok("three"));
            assertThat(client.read().body()).isEqualTo("three");
        }
    }

    @Test
    void anAnswerTooLongIsAnError() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), backend);
                var client = proxy.client()) {
            backend.always(ScriptedServer.ok("x".repeat(70_000)));
            client.send(ProxyFixture.get("r1"));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.ERROR);
        }
    }

    /** While one attempt is out no other may be: the connection of one that is given up ends before the next begins. */
    @Test
    void aTimeOutClosesTheConnectionBeforeTheNextAttempt() throws Exception {
        try (var slow = new ScriptedServer();
                var other = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a) {
                                actions.accept(new StartAttempt(a.requestId(), "s0", 50_000));
                            } else if (event instanceof AttemptEnded e && e.outcome() == AttemptOutcome.TIMEOUT) {
                                actions.accept(new StartAttempt(e.requestId(), "s1", 0));
                            }
                        },
                        slow,
                        other);
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection first = slow.accept();
            first.read();
            RawConnection second = other.accept();
            second.read();
            assertThat(first.ended()).isTrue();
            second.send(ScriptedServer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
        }
    }

    @Test
    void keepsConnectionsAndReleasesThem() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a
                                    && a.requestId().equals("r3")) {
                                actions.accept(new CloseIdleConnections("s0"));
                            }
                            ProxyFixture.sendTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection first = backend.accept();
            for (String next : List.of("r2", "r3")) {
                first.read();
                first.send(ScriptedServer.ok("x"));
                assertThat(client.read().status()).isEqualTo(200);
                settle();
                client.send(ProxyFixture.get(next));
            }
            assertThat(first.ended()).isTrue();
            RawConnection second = backend.accept();
            assertThat(second.read().header("X-Request-ID")).isEqualTo("r3");
        }
    }

    /** A request that crosses the backend's close of an idle connection may have run: this side closes it first. */
    @Test
    void closesIdleConnectionsBeforeTheBackendDoes() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), 1_024, 500_000, backend);
                var client = proxy.client()) {
            RawConnection attempt = backend.attemptFor(client, "r1");
            attempt.send(ScriptedServer.ok("x"));
            client.read();
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** Rule 3 counts a send from its first byte: one that still waits for its connection must not go out any more. */
    @Test
    void aDrainStopsWhatIsStillConnecting() throws Exception {
        try (var full = new FullBacklog();
                var proxy = new ProxyFixture(ProxyFixture.watching("s1"), ProxyFixture.PATIENT);
                var client = proxy.client()) {
            RawConnection next = proxy.list(ProxyFixture.entry("s1", full.address(), "ready"));
            client.send(ProxyFixture.get("r1"));
            proxy.next(RequestArrived.class);
            next.send(ScriptedServer.ok(
                    ProxyFixture.list(43, false, ProxyFixture.entry("s1", full.address(), "draining"))));
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /** The id says which backend it is, the address only where: what was kept open to the old place is not used again. */
    @Test
    void followsABackendToItsNewAddress() throws Exception {
        try (var old = new ScriptedServer();
                var moved = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.watching("s0"), 1_024, 60_000_000, old);
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection attempt = old.accept();
            attempt.read();
            attempt.send(ScriptedServer.ok("old"));
            assertThat(client.read().body()).isEqualTo("old");
            RawConnection watch = proxy.discovery.accept();
            watch.read();
            watch.send(ScriptedServer.ok(
                    ProxyFixture.list(42, false, ProxyFixture.entry("s0", moved.address(), "ready"))));
            assertThat(attempt.ended()).isTrue();
            moved.always(ScriptedServer.ok("new"));
            assertThat(client.send(ProxyFixture.get("r2")).read().body()).isEqualTo("new");
        }
    }
}
