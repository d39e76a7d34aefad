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

/** What the proxy guarantees whatever the load balancer does, and how it executes the load balancer's actions. */
class RequestDispatcherTest {
    /**
     * The load balancer never responds to a request. The proxy fails the request at its deadline, so that the client
     * has a response before it gives up, and reports to the load balancer that the client has disconnected.
     */
    @Test
    void failsARequestToWhichTheLoadBalancerNeverResponds() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {});
                var client = proxy.connectClient()) {
            long sentNanos = System.nanoTime();
            RawConnection.Message response = client.send(ProxyFixture.get("r1").replace("1900m", "300000u"))
                    .read();
            assertThat(response.status()).isEqualTo(502);
            assertThat(System.nanoTime() - sentNanos).isGreaterThan(200_000_000L);
            assertThat(proxy.awaitEvent(ClientDisconnected.class).requestId()).isEqualTo("r1");
        }
    }

    /** The load balancer throws an exception on a request. Only that request fails; the next one is served as usual. */
    @Test
    void anExceptionInTheLoadBalancerFailsOnlyItsRequest() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived arrived
                                    && arrived.requestId().equals("bad")) {
                                throw new IllegalStateException("thrown by the test");
                            }
                            ProxyFixture.singleAttemptTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok("x"));
            assertThat(client.send(ProxyFixture.get("bad")).read().status()).isEqualTo(502);
            assertThat(client.send(ProxyFixture.get("good")).read().status()).isEqualTo(200);
        }
    }

    /**
     * The load balancer starts two more attempts while the first is in flight, although the settings do not permit
     * hedging. Both end as not sent, each under its own number, and the first attempt is served.
     */
    @Test
    void startsNoSecondAttemptIfHedgingIsNotPermitted() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived arrived) {
                                actions.accept(new StartAttempt(arrived.requestId(), "s0", 0));
                                actions.accept(new StartAttempt(arrived.requestId(), "s0", 0));
                                actions.accept(new StartAttempt(arrived.requestId(), "unknown", 0));
                            }
                        },
                        backend);
                var client = proxy.connectClient()) {
            RawConnection firstAttempt = backend.sendAndAcceptAttempt(client, "r1");
            for (int number = 1; number <= 2; number++) {
                AttemptEnded end = proxy.awaitEvent(AttemptEnded.class);
                assertThat(end.attempt()).isEqualTo(number);
                assertThat(end.outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
                assertThat(end.requestEnded()).isFalse();
            }
            firstAttempt.send(ScriptedServer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(proxy.awaitEvent(AttemptEnded.class).requestEnded()).isTrue();
        }
    }

    /**
     * The client disconnects, and the load balancer cancels its attempt. The proxy closes the connection to the backend
     * and reports the attempt as cancelled.
     */
    @Test
    void closesTheConnectionOfACancelledAttempt() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof ClientDisconnected disconnected) {
                                actions.accept(new CancelAttempt(disconnected.requestId(), 0));
                            }
                            ProxyFixture.singleAttemptTo("s0").handle(event, actions);
                        },
                        backend)) {
            RawConnection attempt;
            try (var client = proxy.connectClient()) {
                client.send(ProxyFixture.get("r1"));
                attempt = backend.accept();
                attempt.read();
            }
            assertThat(attempt.awaitClose()).isTrue();
            AttemptEnded end = proxy.awaitEvent(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(AttemptOutcome.CANCELLED);
            assertThat(end.requestEnded()).isTrue();
        }
    }

    @Test
    void firesTimersOnTheProxysClock() throws Exception {
        var timerSet = new boolean[1];
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (!timerSet[0]) {
                timerSet[0] = true;
                actions.accept(new SetTimer(0, "due"));
            }
        })) {
            assertThat(proxy.awaitEvent(TimerFired.class).token()).isEqualTo("due");
        }
    }
}
