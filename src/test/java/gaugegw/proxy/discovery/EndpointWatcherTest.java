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

/** The watch on the list of backends, with discovery played by the test. */
class EndpointWatcherTest {
    /** Asks to watch at its first event, and again whenever a call has failed. */
    private static ProxyFixture.Module watcher() {
        return (event, actions) -> {
            if (event instanceof EndpointUpdate m
                    && (m.kind() == UpdateKind.CACHED || m.kind() == UpdateKind.POLL_FAILED)) {
                actions.accept(new WatchEndpoints(true));
            }
        };
    }

    private static RawConnection.Message ready(ProxyFixture proxy) throws Exception {
        try (var client = proxy.client()) {
            return client.send("GET /ready HTTP/1.1\r\n\r\n").read();
        }
    }

    /** Ready means that it can serve: not on the list of its last life alone, and not without a backend. */
    @Test
    void isReadyOnceDiscoveryHasSpoken() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(watcher(), backend)) {
            EndpointUpdate known = proxy.next(EndpointUpdate.class);
            assertThat(known.kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(known.endpoints())
                    .containsExactly(new Endpoint("s0", EndpointState.READY, "m", "a", 1, 7_000, 1));
            RawConnection call = proxy.discovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints?from=41&hold_ms=0 HTTP/1.1");
            assertThat(ready(proxy).status()).isEqualTo(503);
            call.send(ScriptedServer.ok(ProxyFixture.list(41, false)));
            // The watch goes on at once, and now it may wait: briefly, or a discovery that has vanished is not missed.
            RawConnection next = proxy.discovery.accept();
            assertThat(next.read().first()).matches("GET /v1/endpoints\\?from=41&hold_ms=1[1-5]\\d{2} HTTP/1.1");
            assertThat(ready(proxy).status()).isEqualTo(200);
            next.send(ScriptedServer.ok(
                    ProxyFixture.list(43, false, ProxyFixture.entry("s0", backend.address(), "gone"))));
            RawConnection last = proxy.discovery.accept();
            assertThat(last.read().first()).contains("from=43&");
            assertThat(ready(proxy).status()).isEqualTo(503);
        }
    }

    /** A process that has come back is ready by the list that it had, however its first call to discovery fails. */
    @ParameterizedTest
    @CsvSource({
        "pushed,''",
        "pushed,'HTTP/1.1 503 Busy'",
        "pushed,'rubbish'",
        "on_request,''",
        "on_request,'HTTP/1.1 503 Busy'",
        "on_request,'rubbish'"
    })
    void isReadyByTheListThatItHadWhereDiscoveryFails(String mode, String answer) throws Exception {
        ProxyFixture.Module asksOnce = (event, actions) -> {
            if (event instanceof EndpointUpdate m && m.kind() == UpdateKind.CACHED) {
                actions.accept(new WatchEndpoints(true));
            }
        };
        try (var backend = new ScriptedServer();
                var discovery = new ScriptedServer()) {
            discovery.always(answer);
            try (var proxy = new ProxyFixture(asksOnce, c -> at(discovery, c).replace("on_request", mode), backend)) {
                ScriptedServer.until(() -> isReady(proxy));
            }
        }
    }

    private static String at(ScriptedServer discovery, String config) {
        return config.replaceFirst("discovery\":\"[^\"]+", "discovery\":\"" + discovery.address());
    }

    private static boolean isReady(ProxyFixture proxy) {
        try {
            return ready(proxy).status() == 200;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void tellsChangesAndWholeLists() throws Exception {
        try (var proxy = new ProxyFixture(watcher())) {
            proxy.next(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(ProxyFixture.list(42, true, ProxyFixture.entry("s7", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.SNAPSHOT);
            call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(
                    ProxyFixture.list(43, false, ProxyFixture.entry("s7", "127.0.0.1:1", "draining"))));
            EndpointUpdate change = proxy.next(EndpointUpdate.class);
            assertThat(change.kind()).isEqualTo(UpdateKind.DELTA);
            assertThat(change.endpoints()).extracting(Endpoint::state).containsExactly(EndpointState.DRAINING);
        }
    }

    /**
     * One that doesn't wait and has no news, or tells its whole list again, is asked again within the 200 ms of a watch,
     * but not in a tight loop.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotSpinOnADiscoveryThatDoesNotWait(boolean full) throws Exception {
        String[] entries = full ? new String[] {ProxyFixture.entry("s7", "127.0.0.1:1", "ready")} : new String[0];
        try (var proxy = new ProxyFixture(watcher())) {
            RawConnection first = proxy.discovery.accept();
            first.read();
            first.send(ScriptedServer.ok(ProxyFixture.list(41, false)));
            RawConnection second = proxy.discovery.accept();
            second.read();
            long answered = System.nanoTime();
            second.send(ScriptedServer.ok(ProxyFixture.list(41, full, entries)));
            proxy.discovery.accept().read();
            assertThat(System.nanoTime() - answered).isGreaterThan(40_000_000);
        }
    }

    /** A failed call is told to the module, which decides when to ask again: nothing asks on its own. */
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
    void tellsOfAFailedCall(String answer) throws Exception {
        try (var proxy = new ProxyFixture(watcher())) {
            proxy.next(EndpointUpdate.class);
            try (RawConnection call = proxy.discovery.accept()) {
                call.read();
                call.send(answer);
            }
            assertThat(proxy.next(EndpointUpdate.class))
                    .isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
            assertThat(proxy.discovery.accept().read().first()).contains("from=41&hold_ms=0");
        }
    }

    /** A discovery that is cut off says nothing, and TCP tells nobody: only the time does. */
    @Test
    void noticesASilentDiscovery() throws Exception {
        try (var proxy = new ProxyFixture(watcher())) {
            proxy.next(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            call.read();
            assertThat(call.ended()).isTrue();
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.POLL_FAILED);
        }
    }

    /** As {@link #watcher}; a timer runs from the first list of a kind on. */
    private static ProxyFixture.Module watcher(UpdateKind from, long timerMs) {
        var set = new boolean[1];
        return (event, actions) -> {
            watcher().handle(event, actions);
            if (!set[0] && event instanceof EndpointUpdate m && m.kind() == from) {
                set[0] = true;
                long now = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
                actions.accept(new SetTimer(now + timerMs * 1_000, "told"));
            }
        };
    }

    /**
     * What a silent watch misses counts as told 2 s after its wait, and binds 1 s later. The wait is 1.1 s at least; that
     * the watch is over must come before a timer which is set as it begins, to 3 s after that.
     */
    @Test
    void asksAnewBeforeThatBindsWhichASilentWatchMisses() throws Exception {
        try (var proxy = new ProxyFixture(watcher(UpdateKind.DELTA, 4_100))) {
            RawConnection first = proxy.discovery.accept();
            first.read();
            first.send(ScriptedServer.ok(ProxyFixture.list(42, false)));
            proxy.discovery.accept().read();
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.DELTA);
            Event next = ScriptedServer.next(proxy.events);
            assertThat(next).isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    private static final String STALLED_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{";

    /** A call that doesn't wait is over 1.2 s after it began, whether its answer doesn't come or stops half way. */
    @ParameterizedTest
    @ValueSource(strings = {"", STALLED_ANSWER})
    void aCallThatDoesNotWaitFailsSoon(String answer) throws Exception {
        try (var proxy = new ProxyFixture(watcher(UpdateKind.POLL_FAILED, 1_700))) {
            proxy.discovery.accept().close();
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.POLL_FAILED);
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(answer);
            Event next = ScriptedServer.next(proxy.events);
            assertThat(next).isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    /** One that may wait, here for 15 s at least, is over soon after its answer has begun: what it told is lost else. */
    @Test
    void anAnswerThatStopsHalfWayIsNotWaitedForAsLongAsItMightHaveWaited() throws Exception {
        try (var proxy = new ProxyFixture(
                watcher(UpdateKind.DELTA, 6_000), c -> c.replace("\"balancers\":2", "\"balancers\":100"))) {
            RawConnection watch = proxy.list();
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.DELTA);
            watch.send(STALLED_ANSWER);
            Event next = ScriptedServer.next(proxy.events);
            assertThat(next).isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    /** What an agent has counts as told at once: two calls that fail and their delays take 1 s, the first 0.15 s more. */
    @Test
    void anAgentIsAskedAnewInTimeThoughCallsFail() throws Exception {
        try (var proxy = new ProxyFixture(watcher(UpdateKind.CACHED, 3_400), c -> c.replace("on_request", "pushed"))) {
            for (int i = 0; i < 5; i++) {
                proxy.discovery.accept().read();
            }
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(ProxyFixture.list(42, false)));
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            Event next = ScriptedServer.next(proxy.events);
            assertThat(next).isEqualTo(new EndpointUpdate(UpdateKind.DELTA, List.of()));
        }
    }

    /** An agent of the proxy's own machine answers at once, and costs nothing: neither its silence nor a wait is long. */
    @Test
    void anAgentIsAskedOftenAndAnewWhenItIsSilent() throws Exception {
        try (var proxy = new ProxyFixture(
                watcher(UpdateKind.CACHED, 2_500),
                c -> c.replace("on_request", "pushed").replace("\"balancers\":2", "\"balancers\":100"))) {
            proxy.discovery.accept().read();
            RawConnection again = proxy.discovery.accept();
            assertThat(again.read().first()).contains("from=41&hold_ms=0");
            again.send(ScriptedServer.ok(ProxyFixture.list(42, false)));
            assertThat(proxy.next(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            Event next = ScriptedServer.next(proxy.events);
            assertThat(next).isEqualTo(new EndpointUpdate(UpdateKind.DELTA, List.of()));
            assertThat(proxy.discovery.accept().read().first())
                    .matches("GET /v1/endpoints\\?from=42&hold_ms=1[1-5]\\d{2} HTTP/1.1");
        }
    }

    /** What an agent has binds a new process from its start: no request may go by the list of its last life alone. */
    @Test
    void letsNobodyInBeforeAnAgentHasSpoken() throws Exception {
        int port;
        try (var free = new ScriptedServer()) {
            port = free.port();
        }
        try (var discovery = new ScriptedServer();
                var backend = new ScriptedServer()) {
            ScriptedServer.background(() -> {
                RawConnection call = discovery.accept();
                call.read();
                boolean letIn = false;
                for (int i = 0; i < 50 && !letIn; i++) {
                    letIn = letsIn(port);
                }
                call.send(ScriptedServer.ok(
                        ProxyFixture.list(42, false, ProxyFixture.entry("s0", backend.address(), "draining"))));
            });
            try (var proxy = new ProxyFixture(
                    (event, actions) -> {},
                    c -> at(discovery, c).replace("on_request", "pushed").replace("127.0.0.1:0", "127.0.0.1:" + port),
                    backend)) {
                assertThat(proxy.events)
                        .extracting(e -> ((EndpointUpdate) e).kind())
                        .containsExactly(UpdateKind.CACHED, UpdateKind.DELTA);
            }
        }
    }

    private static boolean letsIn(int port) {
        try {
            RawConnection.to(new InetSocketAddress(port)).close();
            return true;
        } catch (IOException e) {
            trickle();
            return false;
        }
    }

    private static void trickle() {
        try {
            Thread.sleep(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** After a restart versions may begin again: then changes say nothing of what this proxy has, a whole list does. */
    @Test
    void asksForTheWholeListWhereChangesDoNotFollowOnItsOwn() throws Exception {
        try (var proxy = new ProxyFixture(watcher())) {
            RawConnection watch = proxy.list();
            watch.send(
                    ScriptedServer.ok(ProxyFixture.list(7, false, ProxyFixture.entry("s7", "127.0.0.1:1", "ready"))));
            RawConnection whole = proxy.discovery.accept();
            assertThat(whole.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            whole.send(
                    ScriptedServer.ok(ProxyFixture.list(8, false, ProxyFixture.entry("s7", "127.0.0.1:1", "ready"))));
            whole = proxy.discovery.accept();
            assertThat(whole.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            whole.send(ScriptedServer.ok(ProxyFixture.list(8, true, ProxyFixture.entry("s8", "127.0.0.1:1", "ready"))));
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

    /** Where no descriptor is left for a call it has failed like any other, and is made again. */
    @Test
    void aCallForWhichThereIsNoDescriptorIsMadeAgain() throws Exception {
        Transport sockets = Transport.sockets();
        var failures = new AtomicInteger(1);
        ChannelFactory<Channel> limited = () -> {
            if (failures.getAndDecrement() > 0) {
                throw new ChannelException("no descriptor is left");
            }
            return new NioSocketChannel();
        };
        var transport = new TransportWithClient(
                sockets, new Bootstrap().group(sockets.loop()).channelFactory(limited));
        try (var discovery = new ScriptedServer()) {
            ProxyConfig config = ProxyConfig.parse(ProxyFixture.json(ProxyFixture.config(discovery.address())));
            var serve =
                    new ProxyServer(config, (now, event, actions) -> watcher().handle(event, actions), transport);
            try {
                serve.start();
                assertThat(discovery.accept().read().first()).contains("?from=41&");
            } finally {
                serve.stop();
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

    /** One entry that makes no sense must not cost the others. */
    @Test
    void leavesMalformedEntriesOut() throws Exception {
        try (var proxy = new ProxyFixture(watcher())) {
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
    void fetchesTheWholeListOnce() throws Exception {
        try (var proxy =
                new ProxyFixture((Event event, java.util.function.Consumer<gaugegw.balancer.api.Action> actions) -> {
                    if (event instanceof EndpointUpdate m && m.kind() == UpdateKind.CACHED) {
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

    /** Two calls at once could tell old news after new: the watch goes on from the whole list, and fails with it. */
    @Test
    void aWholeListIsNeverAskedForBesideTheWatch() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
                    watcher().handle(event, actions);
                    if (event instanceof RequestArrived a) {
                        actions.accept(new FetchEndpoints());
                        actions.accept(new Reject(a.requestId(), 0));
                    }
                });
                var client = proxy.client()) {
            RawConnection watch = proxy.list();
            client.send(ProxyFixture.get("r1")).read();
            assertThat(watch.ended()).isTrue();
            try (RawConnection failing = proxy.discovery.accept()) {
                assertThat(failing.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            }
            RawConnection whole = proxy.discovery.accept();
            assertThat(whole.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            whole.send(ScriptedServer.ok(ProxyFixture.list(45, true)));
            assertThat(proxy.discovery.accept().read().first()).contains("?from=45&");
        }
    }

    /** A new configuration: the watch moves at once, asks for the whole list, and the known backends serve meanwhile. */
    @Test
    void movesToTheDiscoveryOfANewConfiguration() throws Exception {
        try (var backend = new ScriptedServer();
                var moved = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            watcher().handle(event, actions);
                            ProxyFixture.sendTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.client()) {
            backend.always(ScriptedServer.ok("x"));
            RawConnection old = proxy.discovery.accept();
            old.read();
            proxy.reload(ProxyFixture.config(moved.address()));
            assertThat(old.ended()).isTrue();
            RawConnection call = moved.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            assertThat(client.send(ProxyFixture.get("r1")).read().status()).isEqualTo(200);
            call.send(ScriptedServer.ok(ProxyFixture.list(3, true, ProxyFixture.entry("s7", "127.0.0.1:1", "ready"))));
            assertThat(moved.accept().read().first()).contains("?from=3&");
            assertThat(client.send(ProxyFixture.get("r2")).read().status()).isEqualTo(502);
        }
    }

    @Test
    void aBadConfigurationLeavesTheWatchAlone() throws Exception {
        try (var moved = new ScriptedServer();
                var proxy = new ProxyFixture(watcher())) {
            RawConnection call = proxy.discovery.accept();
            call.read();
            proxy.reload("{\"discovery\":");
            proxy.reload(ProxyFixture.config("nowhere"));
            call.send(ScriptedServer.ok(ProxyFixture.list(42, false)));
            RawConnection next = proxy.discovery.accept();
            assertThat(next.read().first()).contains("?from=42&");
            // The last of two counts, and one that names the same address again changes nothing.
            proxy.reload(ProxyFixture.config("127.0.0.1:1"));
            proxy.reload(ProxyFixture.config(moved.address()));
            RawConnection last = moved.accept();
            last.read();
            proxy.reload(ProxyFixture.config(moved.address()));
            last.send(ScriptedServer.ok(ProxyFixture.list(7, true)));
            assertThat(moved.accept().read().first()).contains("?from=7&");
        }
    }
}
