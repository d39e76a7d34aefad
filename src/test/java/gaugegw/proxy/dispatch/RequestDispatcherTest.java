package gaugegw.proxy.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.CancelAttempt;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.Event.TimerFired;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import org.junit.jupiter.api.Test;

/** What the proxy does round the module, whatever the module does. */
class RequestDispatcherTest {
    /** Rule 1: a request that the module forgets is answered all the same, before its client gives up. */
    @Test
    void answersInTimeWhateverTheModuleDoes() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {});
                var client = proxy.client()) {
            long sent = System.nanoTime();
            RawConnection.Message answer = client.send(ProxyFixture.get("r1").replace("1900m", "300000u"))
                    .read();
            assertThat(answer.status()).isEqualTo(502);
            assertThat(System.nanoTime() - sent).isGreaterThan(200_000_000L);
            assertThat(proxy.next(ClientDisconnected.class).requestId()).isEqualTo("r1");
        }
    }

    @Test
    void anErrorInTheModuleCostsOneRequest() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a
                                    && a.requestId().equals("bad")) {
                                throw new IllegalStateException("as the test wants it");
                            }
                            ProxyFixture.sendTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.client()) {
            backend.always(ScriptedServer.ok("x"));
            assertThat(client.send(ProxyFixture.get("bad")).read().status()).isEqualTo(502);
            assertThat(client.send(ProxyFixture.get("good")).read().status()).isEqualTo(200);
        }
    }

    /** Rule 2: no attempt goes out beside another, and none once the request is over or has had its tries. */
    @Test
    void sendsNoSecondCopy() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a) {
                                actions.accept(new StartAttempt(a.requestId(), "s0", 0));
                                actions.accept(new StartAttempt(a.requestId(), "s0", 0));
                                actions.accept(new StartAttempt(a.requestId(), "unknown", 0));
                            }
                        },
                        backend);
                var client = proxy.client()) {
            RawConnection first = backend.attemptFor(client, "r1");
            for (int number = 1; number <= 2; number++) {
                AttemptEnded end = proxy.next(AttemptEnded.class);
                assertThat(end.attempt()).isEqualTo(number);
                assertThat(end.outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
                assertThat(end.requestEnded()).isFalse();
            }
            first.send(ScriptedServer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(proxy.next(AttemptEnded.class).requestEnded()).isTrue();
        }
    }

    @Test
    void cancelsWhenTheModuleSaysSo() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof ClientDisconnected g) {
                                actions.accept(new CancelAttempt(g.requestId(), 0));
                            }
                            ProxyFixture.sendTo("s0").handle(event, actions);
                        },
                        backend)) {
            RawConnection attempt;
            try (var client = proxy.client()) {
                client.send(ProxyFixture.get("r1"));
                attempt = backend.accept();
                attempt.read();
            }
            assertThat(attempt.ended()).isTrue();
            AttemptEnded end = proxy.next(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(AttemptOutcome.CANCELLED);
            assertThat(end.requestEnded()).isTrue();
        }
    }

    @Test
    void timersFireOnTheProxysClock() throws Exception {
        var set = new boolean[1];
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (!set[0]) {
                set[0] = true;
                actions.accept(new SetTimer(0, "due"));
            }
        })) {
            assertThat(proxy.next(TimerFired.class).token()).isEqualTo("due");
        }
    }
}
