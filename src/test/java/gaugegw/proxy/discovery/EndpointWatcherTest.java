package gaugegw.proxy.discovery;

import static gaugegw.proxy.discovery.DiscoveryTestSupport.discoveryAt;
import static gaugegw.proxy.discovery.DiscoveryTestSupport.watching;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.FetchEndpoints;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Action.WatchEndpoints;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch of the endpoint list. The test acts as discovery. */
class EndpointWatcherTest {
    private static RawConnection.Message readiness(ProxyFixture proxy) throws Exception {
        try (var client = proxy.connectClient()) {
            return client.send("GET /ready HTTP/1.1\r\n\r\n").read();
        }
    }

    /**
     * A restarted proxy is not ready with its cached list alone, but only after the first response of discovery. When
     * discovery then removes the only endpoint, the proxy is no longer ready.
     */
    @Test
    void isReadyAfterTheFirstResponseWhileThereIsAnEndpoint() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(watching(), backend)) {
            EndpointUpdate cached = proxy.awaitEvent(EndpointUpdate.class);
            assertThat(cached.kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(cached.endpoints())
                    .containsExactly(new Endpoint("s0", EndpointState.READY, "m", "a", 1, 7_000, 1));
            RawConnection call = proxy.discovery.accept();
            assertThat(call.read().firstLine()).isEqualTo("GET /v1/endpoints?from=41&hold_ms=0 HTTP/1.1");
            assertThat(readiness(proxy).status()).isEqualTo(503);
            call.send(ScriptedServer.ok(ProxyFixture.endpointListJson(41, false)));
            // The watch continues at once with a held call. Its hold is short, to notice an unreachable discovery.
            RawConnection nextCall = proxy.discovery.accept();
            assertThat(nextCall.read().firstLine())
                    .matches("GET /v1/endpoints\\?from=41&hold_ms=1[1-5]\\d{2} HTTP/1.1");
            assertThat(readiness(proxy).status()).isEqualTo(200);
            nextCall.send(ScriptedServer.ok(ProxyFixture.endpointListJson(
                    43, false, ProxyFixture.endpointJson("s0", backend.address(), "gone"))));
            RawConnection lastCall = proxy.discovery.accept();
            assertThat(lastCall.read().firstLine()).contains("from=43&");
            assertThat(readiness(proxy).status()).isEqualTo(503);
        }
    }

    /**
     * A proxy restarts while discovery closes connections, responds with an error status or sends something that is not
     * HTTP. The proxy is ready with its cached list as soon as its first call has failed.
     */
    @ParameterizedTest
    @CsvSource({
        "pushed,''",
        "pushed,'HTTP/1.1 503 Busy'",
        "pushed,'rubbish'",
        "on_request,''",
        "on_request,'HTTP/1.1 503 Busy'",
        "on_request,'rubbish'"
    })
    void isReadyWithItsCachedListAfterTheFirstCallFails(String registryMode, String response) throws Exception {
        ProxyFixture.StubLoadBalancer watchingOnce = (event, actions) -> {
            if (event instanceof EndpointUpdate update && update.kind() == UpdateKind.CACHED) {
                actions.accept(new WatchEndpoints(true));
            }
        };
        try (var backend = new ScriptedServer();
                var discovery = new ScriptedServer()) {
            discovery.respondToAll(response);
            try (var proxy = new ProxyFixture(
                    watchingOnce, c -> discoveryAt(discovery, c).replace("on_request", registryMode), backend)) {
                ScriptedServer.await(() -> isReady(proxy));
            }
        }
    }

    private static boolean isReady(ProxyFixture proxy) {
        try {
            return readiness(proxy).status() == 200;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void notifiesOfSnapshotsAndDeltas() throws Exception {
        try (var proxy = new ProxyFixture(watching())) {
            proxy.awaitEvent(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(
                    ProxyFixture.endpointListJson(42, true, ProxyFixture.endpointJson("s7", "127.0.0.1:1", "ready"))));
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.SNAPSHOT);
            call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(ProxyFixture.endpointListJson(
                    43, false, ProxyFixture.endpointJson("s7", "127.0.0.1:1", "draining"))));
            EndpointUpdate delta = proxy.awaitEvent(EndpointUpdate.class);
            assertThat(delta.kind()).isEqualTo(UpdateKind.DELTA);
            assertThat(delta.endpoints()).extracting(Endpoint::state).containsExactly(EndpointState.DRAINING);
        }
    }

    /**
     * Discovery does not hold calls: it returns at once with an empty delta or with the same snapshot again. The proxy
     * calls it again soon enough for the watch to continue, but not in a tight loop.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotCallInATightLoopIfDiscoveryHoldsNoCalls(boolean full) throws Exception {
        String[] entries =
                full ? new String[] {ProxyFixture.endpointJson("s7", "127.0.0.1:1", "ready")} : new String[0];
        try (var proxy = new ProxyFixture(watching())) {
            RawConnection firstCall = proxy.discovery.accept();
            firstCall.read();
            firstCall.send(ScriptedServer.ok(ProxyFixture.endpointListJson(41, false)));
            RawConnection secondCall = proxy.discovery.accept();
            secondCall.read();
            long respondedNanos = System.nanoTime();
            secondCall.send(ScriptedServer.ok(ProxyFixture.endpointListJson(41, full, entries)));
            proxy.discovery.accept().read();
            assertThat(System.nanoTime() - respondedNanos).isGreaterThan(40_000_000);
        }
    }

    /**
     * Discovery restarts, and its versions start again below that of the proxy's list, so that its deltas can't be
     * applied. The proxy discards them and asks for the complete list until it receives one.
     */
    @Test
    void fetchesTheCompleteListIfADeltaCannotBeApplied() throws Exception {
        try (var proxy = new ProxyFixture(watching())) {
            RawConnection watch = proxy.answerWatchCall();
            watch.send(ScriptedServer.ok(
                    ProxyFixture.endpointListJson(7, false, ProxyFixture.endpointJson("s7", "127.0.0.1:1", "ready"))));
            RawConnection fetch = proxy.discovery.accept();
            assertThat(fetch.read().firstLine()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            fetch.send(ScriptedServer.ok(
                    ProxyFixture.endpointListJson(8, false, ProxyFixture.endpointJson("s7", "127.0.0.1:1", "ready"))));
            fetch = proxy.discovery.accept();
            assertThat(fetch.read().firstLine()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            fetch.send(ScriptedServer.ok(
                    ProxyFixture.endpointListJson(8, true, ProxyFixture.endpointJson("s8", "127.0.0.1:1", "ready"))));
            assertThat(proxy.discovery.accept().read().firstLine()).contains("?from=8&");
            assertThat(proxy.events)
                    .extracting(e -> ((EndpointUpdate) e).kind())
                    .containsExactly(
                            UpdateKind.CACHED,
                            UpdateKind.DELTA,
                            UpdateKind.POLL_FAILED,
                            UpdateKind.POLL_FAILED,
                            UpdateKind.SNAPSHOT);
        }
    }

    /** A snapshot has one valid entry among malformed ones. The valid one is applied, and the others are ignored. */
    @Test
    void ignoresMalformedEntries() throws Exception {
        try (var proxy = new ProxyFixture(watching())) {
            proxy.awaitEvent(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(ProxyFixture.endpointListJson(
                    42,
                    true,
                    ProxyFixture.endpointJson("", "127.0.0.1:1", "ready"),
                    "7",
                    "null",
                    "{}",
                    ProxyFixture.endpointJson("s1", "localhost:1", "ready"),
                    ProxyFixture.endpointJson("s2", "127.0.0.1:99999", "ready"),
                    ProxyFixture.endpointJson("s3", "127.0.0.1:1", "asleep"),
                    ProxyFixture.endpointJson("s4", "127.0.0.1:1", "ready"))));
            assertThat(proxy.awaitEvent(EndpointUpdate.class).endpoints())
                    .extracting(Endpoint::id)
                    .containsExactly("s4");
        }
    }

    @Test
    void fetchesTheCompleteListOnce() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof EndpointUpdate update && update.kind() == UpdateKind.CACHED) {
                actions.accept(new FetchEndpoints());
            }
        })) {
            proxy.awaitEvent(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            assertThat(call.read().firstLine()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            call.send(ScriptedServer.ok(
                    ProxyFixture.endpointListJson(42, true, ProxyFixture.endpointJson("s1", "127.0.0.1:1", "ready"))));
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.SNAPSHOT);
        }
    }

    /**
     * The load balancer fetches the complete list during a watch. The held call is cancelled, because an older update
     * could arrive after a newer one. The fetch fails, which ends the watch; when the complete list has arrived, the
     * watch continues from it.
     */
    @Test
    void aFetchReplacesTheHeldCall() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
                    watching().handle(event, actions);
                    if (event instanceof RequestArrived a) {
                        actions.accept(new FetchEndpoints());
                        actions.accept(new Reject(a.requestId(), 0));
                    }
                });
                var client = proxy.connectClient()) {
            RawConnection watch = proxy.answerWatchCall();
            client.send(ProxyFixture.get("r1")).read();
            assertThat(watch.awaitClose()).isTrue();
            try (RawConnection failingFetch = proxy.discovery.accept()) {
                assertThat(failingFetch.read().firstLine()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            }
            RawConnection fetch = proxy.discovery.accept();
            assertThat(fetch.read().firstLine()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            fetch.send(ScriptedServer.ok(ProxyFixture.endpointListJson(45, true)));
            assertThat(proxy.discovery.accept().read().firstLine()).contains("?from=45&");
        }
    }
}
