package gaugegw.proxy.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gaugegw.balancer.EarliestDeadlineLoadBalancer;
import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.proxy.config.JsonTrees;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.lifecycle.ProxyServer;
import java.io.ByteArrayInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * A proxy on the loopback interface, with a load balancer that the test provides. Records the events that the load
 * balancer receives and the attempts that it starts.
 */
public final class ProxyFixture implements Closeable {
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"92094eb940cf389a",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
             "known":{"version":41,"full":true,"servers":[%s]},
             "settings":{"balancers":2,"rank":0,"locality":"a","quantum_us":4000,"registry_mode":"on_request",
              "bounds":{"cancel":true,"may_duplicate":false,"probes":false,"most_tries":4,"max_retry_after_us":2000000,
               "conn_idle_us":%d,"connect_timeout_us":200000},
              "invariants":{"cold_from":0.4,"cold_us":8100000,"fall_multiple":4.0,"fall_us":1000000,
               "must_ask_in_us":10000000},
              "over_share_worth":0.05,
              "profiles":[
               {"name":"read","aim_us":600000,"deadline_us":2000000,"effect":"idempotent","value":1,"late_worth":0},
               {"name":"pay","aim_us":400000,"deadline_us":2000000,"effect":"deduplicated","key_scope":"zone",
                "window_us":1200000,"value":10,"late_worth":0},
               {"name":"vote","aim_us":400000,"deadline_us":2000000,"effect":"at_most_once","value":10,"late_worth":0}],
              "projects":[{"name":"acme","allowance_per_s":100}]}}
            """;

    /** The events that the load balancer has received, in order; {@link #awaitEvent} removes them. */
    public final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    /** The attempts that the load balancer has started, in order. */
    public final BlockingQueue<Action.StartAttempt> startedAttempts = new LinkedBlockingQueue<>();
    /** The discovery server, controlled by the test. */
    public final ScriptedServer discovery = new ScriptedServer();

    private final ProxyServer server;
    /** The address on which the proxy listens for clients. */
    public final InetSocketAddress address;

    /**
     * Raises the latency objectives, deadlines, deduplication windows and the connect timeout of the settings to a
     * minute, so that nothing expires while a test waits.
     */
    public static final UnaryOperator<String> LONG_TIMEOUTS =
            config -> config.replaceAll("(aim|deadline|window)_us\":\\d+", "$1_us\":60000000")
                    .replace("connect_timeout_us\":200000", "connect_timeout_us\":60000000");

    /** A load balancer that a test provides; unlike the real one, it does not receive the current time. */
    public interface StubLoadBalancer {
        void handle(Event event, Consumer<Action> actions);
    }

    /** Starts a proxy with the endpoints {@code s0}, {@code s1} and so on, one for each backend. */
    public ProxyFixture(StubLoadBalancer loadBalancer, ScriptedServer... backends) throws Exception {
        this(loadBalancer, 1_024, 15_000_000, backends);
    }

    /**
     * Starts a proxy with a given limit on descriptors and a given idle timeout of the backends.
     *
     * @param sockets the limit on descriptors in the configuration
     * @param idleUs the time after which a backend closes an idle connection, in microseconds
     */
    public ProxyFixture(StubLoadBalancer loadBalancer, int sockets, long idleUs, ScriptedServer... backends)
            throws Exception {
        this(
                settings -> (now, event, actions) -> loadBalancer.handle(event, actions),
                sockets,
                idleUs,
                c -> c,
                backends);
    }

    /** Starts a proxy with an edited configuration; see {@link #LONG_TIMEOUTS}. */
    public ProxyFixture(StubLoadBalancer loadBalancer, UnaryOperator<String> edit, ScriptedServer... backends)
            throws Exception {
        this(
                settings -> (now, event, actions) -> loadBalancer.handle(event, actions),
                1_024,
                15_000_000,
                edit,
                backends);
    }

    /** Starts a proxy with the real load balancer. */
    public static ProxyFixture withRealLoadBalancer(ScriptedServer... backends) throws Exception {
        return withRealLoadBalancer(c -> c, backends);
    }

    /** Starts a proxy with the real load balancer and an edited configuration. */
    public static ProxyFixture withRealLoadBalancer(UnaryOperator<String> edit, ScriptedServer... backends)
            throws Exception {
        return new ProxyFixture(EarliestDeadlineLoadBalancer::new, 1_024, 15_000_000, edit, backends);
    }

    /** Starts a proxy with the real load balancer and a given limit on descriptors. */
    public static ProxyFixture withRealLoadBalancer(int sockets, ScriptedServer... backends) throws Exception {
        return withRealLoadBalancer(c -> c, sockets, backends);
    }

    /** Starts a proxy with the real load balancer, an edited configuration and a given limit on descriptors. */
    public static ProxyFixture withRealLoadBalancer(UnaryOperator<String> edit, int sockets, ScriptedServer... backends)
            throws Exception {
        return new ProxyFixture(EarliestDeadlineLoadBalancer::new, sockets, 15_000_000, edit, backends);
    }

    private ProxyFixture(
            Function<BalancerSettings, LoadBalancer> factory,
            int sockets,
            long idleUs,
            UnaryOperator<String> edit,
            ScriptedServer... backends)
            throws Exception {
        var servers = new StringBuilder();
        for (int i = 0; i < backends.length; i++) {
            servers.append(i == 0 ? "" : ",").append(endpointJson("s" + i, backends[i].address(), "ready"));
        }
        ProxyConfig config = ProxyConfig.parse(
                parseJson(edit.apply(CONFIG.formatted(discovery.address(), sockets, servers, idleUs))));
        LoadBalancer loadBalancer = factory.apply(config.settings());
        server = new ProxyServer(config, (now, event, actions) -> {
            events.add(event);
            loadBalancer.handle(now, event, action -> {
                if (action instanceof Action.StartAttempt started) {
                    startedAttempts.add(started);
                }
                actions.accept(action);
            });
        });
        address = server.start().orElseThrow();
    }

    /** Parses JSON. */
    public static JsonNode parseJson(String text) throws IOException {
        return JsonTrees.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns a valid configuration without endpoints, as a tree that the caller may edit. */
    public static ObjectNode configTree() throws IOException {
        return (ObjectNode) parseJson(configText("127.0.0.1:1"));
    }

    /** Returns a valid configuration without endpoints and with a given address of discovery, as JSON text. */
    public static String configText(String discovery) {
        return CONFIG.formatted(discovery, 1_024, "", 15_000_000);
    }

    /** Makes the proxy read a new configuration, as it does at SIGHUP. */
    public void reload(String json) throws IOException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, json);
            server.reload(file);
        } finally {
            Files.delete(file);
        }
    }

    /** Returns an entry of an endpoint list as JSON text. */
    public static String endpointJson(String id, String address, String state) {
        return "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":1,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":7}"
                .formatted(id, address, state);
    }

    /**
     * Returns a response of discovery as JSON text.
     *
     * @param full whether the entries are the complete list; if false, they are the changed ones
     */
    public static String endpointListJson(long version, boolean full, String... entries) {
        return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}".formatted(version, full, String.join(",", entries));
    }

    /**
     * Returns a load balancer that makes one attempt for each request and fails the request if the attempt fails.
     *
     * @param backend the id of the endpoint, such as {@code s0}
     */
    public static StubLoadBalancer singleAttemptTo(String backend) {
        return singleAttemptTo(backend, 0);
    }

    /**
     * As {@link #singleAttemptTo(String)}, with a timeout for the attempts.
     *
     * @param timeoutUs the timeout in microseconds; 0: the request's deadline
     */
    public static StubLoadBalancer singleAttemptTo(String backend, long timeoutUs) {
        return (event, actions) -> {
            if (event instanceof Event.RequestArrived a) {
                actions.accept(new Action.StartAttempt(a.requestId(), backend, timeoutUs));
            } else if (event instanceof Event.AttemptEnded e && !e.requestEnded()) {
                actions.accept(new Action.Fail(e.requestId()));
            }
        };
    }

    /**
     * As {@link #singleAttemptTo(String)}, but starts to watch the endpoint list at the first event; see {@link
     * #answerWatchCall}.
     */
    public static StubLoadBalancer singleAttemptWithWatch(String backend) {
        var watching = new boolean[1];
        return (event, actions) -> {
            if (!watching[0]) {
                watching[0] = true;
                actions.accept(new Action.WatchEndpoints(true));
            }
            singleAttemptTo(backend).handle(event, actions);
        };
    }

    /**
     * Responds to the watch's first call to discovery with changed entries. Waits for the next call and returns its
     * connection, from which the call has been read.
     */
    public RawConnection answerWatchCall(String... entries) throws IOException {
        RawConnection watch = discovery.accept();
        watch.read();
        watch.send(ScriptedServer.ok(endpointListJson(42, false, entries)));
        RawConnection next = discovery.accept();
        next.read();
        return next;
    }

    /** Returns the text of a valid idempotent request. */
    public static String get(String id) {
        return "GET /api?k=u1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout: 1900m\r\n\r\n";
    }

    /** As {@link #get}, with a timeout of 60 s, so that it does not expire during a test. */
    public static String getWithLongTimeout(String id) {
        return get(id).replace("1900m", "60000m");
    }

    /** Returns the text of a valid request that is idempotent with an idempotency key. */
    public static String post(String id, String body) {
        return "POST /api?k=u%201&x HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: pay\r\nX-Tenant-Id: acme\r\nX-Timeout: 1900m\r\nIdempotency-Key: 5c0f"
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Connects a client. */
    public RawConnection connectClient() throws IOException {
        return RawConnection.connectTo(address);
    }

    /**
     * Waits until the proxy has handled everything that it received before this call. To that end, makes a readiness
     * check, which the event loop handles after its earlier input.
     */
    public void awaitInputHandled() throws IOException {
        try (RawConnection probe = connectClient()) {
            probe.send("GET /ready HTTP/1.1\r\n\r\n").read();
        }
    }

    /** Waits for the next event of a type, and removes it and all events before it. */
    public <T extends Event> T awaitEvent(Class<T> type) throws InterruptedException {
        while (true) {
            Event event = ScriptedServer.awaitNext(events);
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    /** Returns the number of requests that await a response or have an attempt in flight. */
    public int openRequests() {
        return server.openRequests();
    }

    /** Returns the number of clients' connections, without those that a drain does not wait for. */
    public int connectedClients() {
        return server.connectedClients();
    }

    /** Runs a graceful shutdown, and returns when it is complete. */
    public void drain() {
        server.drain();
    }

    @Override
    public void close() throws IOException {
        server.stop();
        discovery.close();
    }
}
