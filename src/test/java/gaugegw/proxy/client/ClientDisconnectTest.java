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
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that close or reset their connection before they receive a response. */
class ClientDisconnectTest {
    private static final ProxyFixture.StubLoadBalancer NO_ACTIONS = (event, actions) -> {};

    /** Closes or resets a client's connection. */
    static void disconnect(RawConnection client, boolean reset) throws IOException {
        if (reset) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }

    /** Returns an edit of the configuration: long time limits, and an endpoint {@code s0} that accepts nothing. */
    static UnaryOperator<String> withEndpoint(FullBacklog backend) {
        String endpoints = "\"servers\":[" + ProxyFixture.endpointJson("s0", backend.address(), "ready") + "]";
        return config -> ProxyFixture.LONG_TIMEOUTS.apply(config).replace("\"servers\":[]", endpoints);
    }

    @Test
    void loadBalancerIsNotifiedOfADisconnect() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS)) {
            try (var client = proxy.connectClient()) {
                client.send(ProxyFixture.get("r1"));
                assertThat(proxy.awaitEvent(RequestArrived.class).requestId()).isEqualTo("r1");
            }
            assertThat(proxy.awaitEvent(ClientDisconnected.class).requestId()).isEqualTo("r1");
        }
    }

    /**
     * The real load balancer queues requests, and the client of one of them disconnects. When responses free capacity,
     * the other requests must be sent but not this one, and the proxy must keep no state for it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void queuedRequestIsNotSentAfterADisconnect(boolean reset) throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.withRealLoadBalancer(ProxyFixture.LONG_TIMEOUTS, backend)) {
            var attempts = new ArrayList<RawConnection>();
            for (int i = 0; clients.size() < proxy.startedAttempts.size() + 2; i++) {
                clients.add(proxy.connectClient().send(ProxyFixture.getWithLongTimeout("r" + i)));
                proxy.awaitEvent(RequestArrived.class);
                proxy.awaitInputHandled();
            }
            List<String> sentIds =
                    proxy.startedAttempts.stream().map(s -> s.requestId()).toList();
            for (int i = 0; i < sentIds.size(); i++) {
                attempts.add(backend.accept());
            }
            int queued = 0;
            while (sentIds.contains("r" + queued)) {
                queued++;
            }
            disconnect(clients.get(queued), reset);
            assertThat(proxy.awaitEvent(ClientDisconnected.class).requestId()).isEqualTo("r" + queued);
            var attemptedIds = new ArrayList<String>(sentIds);
            for (int i = 0; i < attempts.size(); i++) {
                RawConnection attempt = attempts.get(i);
                attempt.read();
                attempt.send(ScriptedServer.response("200 OK", "x", "Connection: close"));
                proxy.awaitEvent(AttemptEnded.class);
                proxy.awaitInputHandled();
                while (attemptedIds.size() < proxy.startedAttempts.size()) {
                    attemptedIds.add(List.copyOf(proxy.startedAttempts)
                            .get(attemptedIds.size())
                            .requestId());
                    attempts.add(backend.accept());
                }
            }
            assertThat(attemptedIds)
                    .hasSize(clients.size() - 1)
                    .doesNotContain("r" + queued)
                    .doesNotHaveDuplicates();
            // Neither the request nor its client's connection is left.
            assertThat(proxy.openRequests()).isZero();
            ScriptedServer.await(() -> proxy.connectedClients() == clients.size() - 1);
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }

    /**
     * The client disconnects while its attempt waits for a connection to the backend. As the attempt has not been sent,
     * it must be dropped, even if the settings forbid cancelling attempts.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void connectingAttemptIsNotSentAfterADisconnect(boolean reset) throws Exception {
        try (var full = new FullBacklog();
                var proxy = new ProxyFixture(
                        ProxyFixture.singleAttemptWithWatch("s1"),
                        ProxyFixture.LONG_TIMEOUTS.andThen(c -> c.replace("\"cancel\":true", "\"cancel\":false"))
                                ::apply);
                var client = proxy.connectClient()) {
            proxy.answerWatchCall(ProxyFixture.endpointJson("s1", full.address(), "ready"));
            client.send(ProxyFixture.getWithLongTimeout("r1"));
            proxy.awaitEvent(RequestArrived.class);
            disconnect(client, reset);
            assertThat(proxy.awaitEvent(ClientDisconnected.class).requestId()).isEqualTo("r1");
            AttemptEnded ended = proxy.awaitEvent(AttemptEnded.class);
            assertThat(ended.outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            assertThat(ended.requestEnded()).isTrue();
            proxy.awaitInputHandled();
            assertThat(proxy.openRequests()).isZero();
        }
    }

    /** As above, but the attempt that waits for a connection is a retry; the first attempt was not sent either. */
    @Test
    void connectingRetryIsNotSentAfterADisconnect() throws Exception {
        try (var full = new FullBacklog();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a) {
                                actions.accept(new StartAttempt(a.requestId(), "unknown", 0));
                            } else if (event instanceof AttemptEnded e && !e.requestEnded()) {
                                actions.accept(new StartAttempt(e.requestId(), "s0", 0));
                            }
                        },
                        withEndpoint(full))) {
            RawConnection client = proxy.connectClient().send(ProxyFixture.getWithLongTimeout("r1"));
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            client.close();
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.NOT_SENT);
            ScriptedServer.await(() -> proxy.openRequests() == 0);
        }
    }

    /**
     * The client disconnects after its request was written to the backend, and the settings forbid cancelling attempts.
     * The attempt must continue, and its response must be dropped.
     */
    @Test
    void writtenAttemptContinuesIfItMayNotBeCancelled() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = ProxyFixture.withRealLoadBalancer(
                        c -> ProxyFixture.LONG_TIMEOUTS.apply(c).replace("\"cancel\":true", "\"cancel\":false"),
                        backend)) {
            RawConnection attempt;
            try (var client = proxy.connectClient()) {
                client.send(ProxyFixture.getWithLongTimeout("r1"));
                attempt = backend.accept();
                attempt.read();
            }
            proxy.awaitEvent(ClientDisconnected.class);
            attempt.send(ScriptedServer.ok("x"));
            AttemptEnded ended = proxy.awaitEvent(AttemptEnded.class);
            assertThat(ended.outcome()).isEqualTo(AttemptOutcome.SUCCESS);
            assertThat(ended.requestEnded()).isTrue();
            proxy.awaitInputHandled();
            assertThat(proxy.openRequests()).isZero();
        }
    }
}
