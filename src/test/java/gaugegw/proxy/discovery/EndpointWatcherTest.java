package gaugegw.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.FetchEndpoints;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.WatchEndpoints;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.lifecycle.ProxyServer;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import gaugegw.proxy.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch on the endpoint list, with discovery played by the test. */
class EndpointWatcherTest {
    /** Watches the endpoints from its first event on, and again whenever a poll has failed. */
    private static ProxyFixture.Module watching() {
        return (event, actions) -> {
            if (event instanceof EndpointUpdate update
                    && (update.kind() == UpdateKind.CACHED || update.kind() == UpdateKind.POLL_FAILED)) {
                actions.accept(new WatchEndpoints(true));
            }
        };
    }

    private static RawConnection.Message readiness(ProxyFixture proxy) throws Exception {
        try (var client = proxy.client()) {
            return client.send("GET /ready HTTP/1.1\r\n\r\n").read();
        }
    }

    /**
     * A restarted proxy is not ready by its cached list alone: it becomes so with the first response of discovery. When
     * discovery then removes its only endpoint, it is not ready any more.
     */
    @Test
    void isReadyAfterTheFirstResponseWhileThereIsAnEndpoint() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(watching(), backend)) {
            EndpointUpdate cached = proxy.next(EndpointUpdate.class);
            assertThat(cached.kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(cached.endpoints())
                    .containsExactly(new Endpoint("s0", EndpointState.READY, "m", "a", 1, 7_000, 1));
            RawConnection call = proxy.discovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints?from=41&hold_ms=0 HTTP/1.1");
            assertThat(readiness(proxy).status()).isEqualTo(503);
            call.send(ScriptedServer.ok(ProxyFixture.list(41, false)));
            // The watch continues at once, with a hold: a short one, so that a discovery that has vanished is noticed.
            RawConnection nextCall = proxy.discovery.accept();
            assertThat(nextCall.read().first()).matches("GET /v1/endpoints\\?from=41&hold_ms=1[1-5]\\d{2} HTTP/1.1");
            assertThat(readiness(proxy).status()).isEqualTo(200);
            nextCall.send(ScriptedServer.ok(
                    ProxyFixture.list(43, false, ProxyFixture.entry("s0", backend.address(), "gone"))));
            RawConnection lastCall = proxy.discovery.accept();
            assertThat(lastCall.read().first()).contains("from=43&");
            assertThat(readiness(proxy).status()).isEqualTo(503);
        }
    }

    /**
     * A proxy restarts while discovery fails: it closes the connection, responds with an error or sends what is not HTTP.
     * The proxy is ready by its cached list once its first call has failed.
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
    void isReadyByItsCachedListWhereTheFirstCallFails(String registryMode, String response) throws Exception {
        ProxyFixture.Module watchingOnce = (event, actions) -> {
            if (event instanceof EndpointUpdate update && update.kind() == UpdateKind.CACHED) {
                actions.accept(new WatchEndpoints(true));
            }
        };
        try (var backend = new ScriptedServer();
                var discovery = new ScriptedServer()) {
            discovery.always(response);
            try (var proxy = new ProxyFixture(
                    watchingOnce, c -> discoveryAt(discovery, c).replace("on_request", registryMode), backend)) {
                ScriptedServer.until(() -> isReady(proxy));
            }
        }
    }

    private static String discoveryAt(ScriptedServer discovery, String config) {
        return config.replaceFirst("discovery\":\"[^\"]+", "discovery\":\"" + discovery.address());
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
            proxy.next(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(ProxyFixture.list(42, true, ProxyFixture.entry("s7", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.SNAPSHOT);
            call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(
                    ProxyFixture.list(43, false, ProxyFixture.entry("s7", "127.0.0.1:1", "draining"))));
            EndpointUpdate delta = proxy.next(EndpointUpdate.class);
            assertThat(delta.kind()).isEqualTo(UpdateKind.DELTA);
            assertThat(delta.endpoints()).extracting(Endpoint::state).containsExactly(EndpointState.DRAINING);
        }
    }

    /**
     * A discovery does not hold calls: it returns at once, with an empty delta or with the same snapshot again. The proxy
     * calls it again soon enough for the watch to continue, but not in a tight loop.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotCallInATightLoopWhereDiscoveryHoldsNoCalls(boolean full) throws Exception {
        String[] entries = full ? new String[] {ProxyFixture.entry("s7", "127.0.0.1:1", "ready")} : new String[0];
        try (var proxy = new ProxyFixture(watching())) {
            RawConnection firstCall = proxy.discovery.accept();
            firstCall.read();
            firstCall.send(ScriptedServer.ok(ProxyFixture.list(41, false)));
            RawConnection secondCall = proxy.discovery.accept();
            secondCall.read();
            long respondedNanos = System.nanoTime();
            secondCall.send(ScriptedServer.ok(ProxyFixture.list(41, full, entries)));
            proxy.discovery.accept().read();
            assertThat(System.nanoTime() - respondedNanos).isGreaterThan(40_000_000);
        }
    }

    /**
     * A call fails by an error, a response cut short, a closed connection, or a body that is no endpoint list. The load
     * balancer is notified; the next call is made because it demands one.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha",
                "",
                "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnot JSON",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                "rubbish\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":\"x\",\"full\":true,\"servers\":[]}",
                "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n{\"version\":-1,\"full\":true,\"servers\":[]}"
            })
    void notifiesOfAFailedCall(String response) throws Exception {
        try (var proxy = new ProxyFixture(watching())) {
            proxy.next(EndpointUpdate.class);
            try (RawConnection call = proxy.discovery.accept()) {
                call.read();
                call.send(response);
            }
            assertThat(proxy.next(EndpointUpdate.class))
                    .isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
            assertThat(proxy.discovery.accept().read().first()).contains("from=41&hold_ms=0");
        }
    }

    /**
     * Discovery is cut off and stays silent on an open connection, which TCP does not report. The call fails by its timeout
     * and its connection is closed.
     */
    @Test
    void aCallToASilentDiscoveryTimesOut() throws Exception {
        try (var proxy = new ProxyFixture(watching())) {
            proxy.next(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            call.read();
            assertThat(call.ended()).isTrue();
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.POLL_FAILED);
        }
    }

    /**
     * As {@link #watching()}, with a timer that starts at the first update of a kind: the test then sees whether the event
     * that it waits for is there before the timer fires.
     */
    private static ProxyFixture.Module watchingWithTimer(UpdateKind startKind, long timerMs) {
        var timerSet = new boolean[1];
        return (event, actions) -> {
            watching().handle(event, actions);
            if (!timerSet[0] && event instanceof EndpointUpdate update && update.kind() == startKind) {
                timerSet[0] = true;
                long nowUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
                actions.accept(new SetTimer(nowUs + timerMs * 1_000, "time is up"));
            }
        };
    }

    /**
     * Discovery falls silent during a held call. An update that the call misses must be in force 3 s after the end of its
     * hold, so the call has to fail before that: before a timer set at its start to 3 s after the shortest hold of 1.1 s.
     */
    @Test
    void aSilentWatchFailsBeforeAMissedUpdateMustBeInForce() throws Exception {
        try (var proxy = new ProxyFixture(watchingWithTimer(UpdateKind.DELTA, 4_100))) {
            RawConnection firstCall = proxy.discovery.accept();
            firstCall.read();
            firstCall.send(ScriptedServer.ok(ProxyFixture.list(42, false)));
            proxy.discovery.accept().read();
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.DELTA);
            Event nextEvent = ScriptedServer.next(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    private static final String STALLED_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{";

    /**
     * Discovery accepts a call without a hold and stays silent, or stops half-way through its response. The call has failed
     * 1.2 s after its start.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", STALLED_RESPONSE})
    void aCallWithoutAHoldTimesOutSoon(String response) throws Exception {
        try (var proxy = new ProxyFixture(watchingWithTimer(UpdateKind.POLL_FAILED, 1_700))) {
            proxy.discovery.accept().close();
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.POLL_FAILED);
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(response);
            Event nextEvent = ScriptedServer.next(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    /**
     * Discovery begins its response to a held call and stops half-way. The call fails soon after, and not only at the end of
     * its hold of 15 s or more: the update in the response would be missed for so long.
     */
    @Test
    void aStalledResponseEndsTheHold() throws Exception {
        try (var proxy = new ProxyFixture(
                watchingWithTimer(UpdateKind.DELTA, 6_000), c -> c.replace("\"balancers\":2", "\"balancers\":100"))) {
            RawConnection watch = proxy.list();
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.DELTA);
            watch.send(STALLED_RESPONSE);
            Event nextEvent = ScriptedServer.next(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    /**
     * A local agent leaves five calls unanswered. What it has must be in force 1 s after it can be reached: two calls that
     * fail, with the delay after each, take no longer, but for the first call of the process with 0.15 s more.
     */
    @Test
    void aLocalAgentIsRetriedInTimeThoughCallsFail() throws Exception {
        try (var proxy =
                new ProxyFixture(watchingWithTimer(UpdateKind.CACHED, 3_400), c -> c.replace("on_request", "pushed"))) {
            for (int i = 0; i < 5; i++) {
                proxy.discovery.accept().read();
            }
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(ProxyFixture.list(42, false)));
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            Event nextEvent = ScriptedServer.next(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.DELTA, List.of()));
        }
    }

    /**
     * A local agent leaves the first call unanswered. It is called again without a hold, and the hold of its watch is short
     * even in a fleet of 100 proxies, as its calls cost no other machine anything.
     */
    @Test
    void aSilentLocalAgentIsRetriedAndItsHoldStaysShort() throws Exception {
        try (var proxy = new ProxyFixture(
                watchingWithTimer(UpdateKind.CACHED, 2_500),
                c -> c.replace("on_request", "pushed").replace("\"balancers\":2", "\"balancers\":100"))) {
            proxy.discovery.accept().read();
            RawConnection retry = proxy.discovery.accept();
            assertThat(retry.read().first()).contains("from=41&hold_ms=0");
            retry.send(ScriptedServer.ok(ProxyFixture.list(42, false)));
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            Event nextEvent = ScriptedServer.next(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.DELTA, List.of()));
            assertThat(proxy.discovery.accept().read().first())
                    .matches("GET /v1/endpoints\\?from=42&hold_ms=1[1-5]\\d{2} HTTP/1.1");
        }
    }

    /**
     * A proxy restarts while its local agent has an update that is already in force. No client may connect before the
     * response of the agent is applied: its requests would be forwarded by the cached list.
     */
    @Test
    void acceptsNoClientBeforeTheFirstResponseOfALocalAgent() throws Exception {
        int port;
        try (var free = new ScriptedServer()) {
            port = free.port();
        }
        try (var discovery = new ScriptedServer();
                var backend = new ScriptedServer()) {
            ScriptedServer.background(() -> {
                RawConnection call = discovery.accept();
                call.read();
                boolean accepted = false;
                for (int i = 0; i < 50 && !accepted; i++) {
                    accepted = accepts(port);
                }
                call.send(ScriptedServer.ok(
                        ProxyFixture.list(42, false, ProxyFixture.entry("s0", backend.address(), "draining"))));
            });
            try (var proxy = new ProxyFixture(
                    (event, actions) -> {},
                    c -> discoveryAt(discovery, c)
                            .replace("on_request", "pushed")
                            .replace("127.0.0.1:0", "127.0.0.1:" + port),
                    backend)) {
                assertThat(proxy.events)
                        .extracting(e -> ((EndpointUpdate) e).kind())
                        .containsExactly(UpdateKind.CACHED, UpdateKind.DELTA);
            }
        }
    }

    private static boolean accepts(int port) {
        try {
            RawConnection.to(new InetSocketAddress(port)).close();
            return true;
        } catch (IOException e) {
            pause();
            return false;
        }
    }

    private static void pause() {
        try {
            Thread.sleep(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Discovery restarts, and its versions begin again below that of the proxy's list: its deltas do not follow on that
     * list. The proxy discards them and fetches the complete list until it has one.
     */
    @Test
    void fetchesTheCompleteListAfterAVersionGap() throws Exception {
        try (var proxy = new ProxyFixture(watching())) {
            RawConnection watch = proxy.list();
            watch.send(
                    ScriptedServer.ok(ProxyFixture.list(7, false, ProxyFixture.entry("s7", "127.0.0.1:1", "ready"))));
            RawConnection fetch = proxy.discovery.accept();
            assertThat(fetch.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            fetch.send(
                    ScriptedServer.ok(ProxyFixture.list(8, false, ProxyFixture.entry("s7", "127.0.0.1:1", "ready"))));
            fetch = proxy.discovery.accept();
            assertThat(fetch.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            fetch.send(ScriptedServer.ok(ProxyFixture.list(8, true, ProxyFixture.entry("s8", "127.0.0.1:1", "ready"))));
            assertThat(proxy.discovery.accept().read().first()).contains("?from=8&");
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

    /** No descriptor is left for a call, so that no channel can be made. The call has failed like any other, and is retried. */
    @Test
    void aCallWithoutADescriptorIsRetried() throws Exception {
        Transport sockets = Transport.sockets();
        var failures = new AtomicInteger(1);
        ChannelFactory<Channel> limitedFactory = () -> {
            if (failures.getAndDecrement() > 0) {
                throw new ChannelException("no descriptor is left");
            }
            return new NioSocketChannel();
        };
        var transport = new TransportWithClient(
                sockets, new Bootstrap().group(sockets.loop()).channelFactory(limitedFactory));
        try (var discovery = new ScriptedServer()) {
            ProxyConfig config = ProxyConfig.parse(ProxyFixture.json(ProxyFixture.config(discovery.address())));
            var server =
                    new ProxyServer(config, (now, event, actions) -> watching().handle(event, actions), transport);
            try {
                server.start();
                assertThat(discovery.accept().read().first()).contains("?from=41&");
            } finally {
                server.stop();
            }
        }
    }

    /** A transport whose connecting channels are others. */
    private record TransportWithClient(Transport other, Bootstrap client) implements Transport {
        @Override
        public EventLoop loop() {
            return other.loop();
        }

        @Override
        public ServerBootstrap server() {
            return other.server();
        }

        @Override
        public SocketAddress address(InetSocketAddress address) {
            return other.address(address);
        }

        @Override
        public boolean isSilent(Channel channel) {
            return other.isSilent(channel);
        }
    }

    /** A snapshot has one valid entry among malformed ones. The valid one is applied, and the others are left out. */
    @Test
    void leavesOutMalformedEntries() throws Exception {
        try (var proxy = new ProxyFixture(watching())) {
            proxy.next(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(ProxyFixture.list(
                    42,
                    true,
                    ProxyFixture.entry("", "127.0.0.1:1", "ready"),
                    "7",
                    "null",
                    "{}",
                    ProxyFixture.entry("s1", "localhost:1", "ready"),
                    ProxyFixture.entry("s2", "127.0.0.1:99999", "ready"),
                    ProxyFixture.entry("s3", "127.0.0.1:1", "asleep"),
                    ProxyFixture.entry("s4", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(EndpointUpdate.class).endpoints())
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
            proxy.next(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            call.send(ScriptedServer.ok(ProxyFixture.list(42, true, ProxyFixture.entry("s1", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.SNAPSHOT);
        }
    }

    /**
     * The load balancer fetches the complete list during a watch. The held call is cancelled, as an older update could
     * arrive after a newer one; the watch fails with the fetch, and continues from the list that is fetched.
     */
    @Test
    void aFetchReplacesTheCallOfTheWatch() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
                    watching().handle(event, actions);
                    if (event instanceof RequestArrived a) {
                        actions.accept(new FetchEndpoints());
                        actions.accept(new Reject(a.requestId(), 0));
                    }
                });
                var client = proxy.client()) {
            RawConnection watch = proxy.list();
            client.send(ProxyFixture.get("r1")).read();
            assertThat(watch.ended()).isTrue();
            try (RawConnection failingFetch = proxy.discovery.accept()) {
                assertThat(failingFetch.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            }
            RawConnection fetch = proxy.discovery.accept();
            assertThat(fetch.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            fetch.send(ScriptedServer.ok(ProxyFixture.list(45, true)));
            assertThat(proxy.discovery.accept().read().first()).contains("?from=45&");
        }
    }

    /**
     * A reload moves discovery to another address. The watch moves at once and fetches the complete list from there; the
     * cached endpoints serve until it has arrived.
     */
    @Test
    void movesToTheDiscoveryAddressOfAReload() throws Exception {
        try (var backend = new ScriptedServer();
                var newDiscovery = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            watching().handle(event, actions);
                            ProxyFixture.sendTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.client()) {
            backend.always(ScriptedServer.ok("x"));
            RawConnection oldCall = proxy.discovery.accept();
            oldCall.read();
            proxy.reload(ProxyFixture.config(newDiscovery.address()));
            assertThat(oldCall.ended()).isTrue();
            RawConnection call = newDiscovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            assertThat(client.send(ProxyFixture.get("r1")).read().status()).isEqualTo(200);
            call.send(ScriptedServer.ok(ProxyFixture.list(3, true, ProxyFixture.entry("s7", "127.0.0.1:1", "ready"))));
            assertThat(newDiscovery.accept().read().first()).contains("?from=3&");
            assertThat(client.send(ProxyFixture.get("r2")).read().status()).isEqualTo(502);
        }
    }

    /**
     * Two reloads name no valid configuration: the watch goes on as it was. Of two valid ones in a row the last counts, and
     * one that names the same address again changes nothing.
     */
    @Test
    void anInvalidReloadLeavesTheWatchAlone() throws Exception {
        try (var newDiscovery = new ScriptedServer();
                var proxy = new ProxyFixture(watching())) {
            RawConnection call = proxy.discovery.accept();
            call.read();
            proxy.reload("{\"discovery\":");
            proxy.reload(ProxyFixture.config("nowhere"));
            call.send(ScriptedServer.ok(ProxyFixture.list(42, false)));
            RawConnection nextCall = proxy.discovery.accept();
            assertThat(nextCall.read().first()).contains("?from=42&");
            proxy.reload(ProxyFixture.config("127.0.0.1:1"));
            proxy.reload(ProxyFixture.config(newDiscovery.address()));
            RawConnection newCall = newDiscovery.accept();
            newCall.read();
            proxy.reload(ProxyFixture.config(newDiscovery.address()));
            newCall.send(ScriptedServer.ok(ProxyFixture.list(7, true)));
            assertThat(newDiscovery.accept().read().first()).contains("?from=7&");
        }
    }
}
