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

/** A proxy on loopback whose decision module is given by the test; keeps the module's events and started attempts. */
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

    /** The events that the decision module was given, in order; {@link #awaitEvent} removes them. */
    public final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    /** The attempts that the decision module asked to start, in order. */
    public final BlockingQueue<Action.StartAttempt> startedAttempts = new LinkedBlockingQueue<>();
    /** The discovery server, which the test plays. */
    public final ScriptedServer discovery = new ScriptedServer();

    private final ProxyServer serve;
    /** Where the proxy listens for clients. */
    public final InetSocketAddress address;

    /** Raises all time limits of the settings to a minute, so that nothing expires while a test waits. */
    public static final UnaryOperator<String> LONG_TIMEOUTS =
            config -> config.replaceAll("(aim|deadline|window)_us\":\\d+", "$1_us\":60000000")
                    .replace("connect_timeout_us\":200000", "connect_timeout_us\":60000000");

    /** A decision module without a clock. */
    public interface StubLoadBalancer {
        void handle(Event event, Consumer<Action> actions);
    }

    /** A proxy with the endpoints {@code s0}, {@code s1} and so on, one for each backend. */
    public ProxyFixture(StubLoadBalancer module, ScriptedServer... backends) throws Exception {
        this(module, 1_024, 15_000_000, backends);
    }

    /**
     * A proxy with other limits.
     *
     * @param sockets the limit of descriptors in the configuration
     * @param idleUs the time after which a backend may close an idle connection, in microseconds
     */
    public ProxyFixture(StubLoadBalancer module, int sockets, long idleUs, ScriptedServer... backends)
            throws Exception {
        this(settings -> (now, event, actions) -> module.handle(event, actions), sockets, idleUs, c -> c, backends);
    }

    /** A proxy whose configuration is edited; see {@link #LONG_TIMEOUTS}. */
    public ProxyFixture(StubLoadBalancer module, UnaryOperator<String> edit, ScriptedServer... backends)
            throws Exception {
        this(settings -> (now, event, actions) -> module.handle(event, actions), 1_024, 15_000_000, edit, backends);
    }

    /** A proxy with the real decision module. */
    public static ProxyFixture withRealLoadBalancer(ScriptedServer... backends) throws Exception {
        return withRealLoadBalancer(c -> c, backends);
    }

    /** A proxy with the real decision module whose configuration is edited. */
    public static ProxyFixture withRealLoadBalancer(UnaryOperator<String> edit, ScriptedServer... backends)
            throws Exception {
        return new ProxyFixture(EarliestDeadlineLoadBalancer::new, 1_024, 15_000_000, edit, backends);
    }

    /** A proxy with the real decision module under a limit of descriptors. */
    public static ProxyFixture withRealLoadBalancer(int sockets, ScriptedServer... backends) throws Exception {
        return new ProxyFixture(EarliestDeadlineLoadBalancer::new, sockets, 15_000_000, c -> c, backends);
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
        LoadBalancer module = factory.apply(config.settings());
        serve = new ProxyServer(config, (now, event, actions) -> {
            events.add(event);
            module.handle(now, event, action -> {
                if (action instanceof Action.StartAttempt send) {
                    startedAttempts.add(send);
                }
                actions.accept(action);
            });
        });
        address = serve.start().orElseThrow();
    }

    /** Parses JSON. */
    public static JsonNode parseJson(String text) throws IOException {
        return JsonTrees.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns a valid configuration without endpoints, to be edited. */
    public static ObjectNode configTree() throws IOException {
        return (ObjectNode) parseJson(configText("127.0.0.1:1"));
    }

    /** Returns a valid configuration without endpoints, with a given address of discovery. */
    public static String configText(String discovery) {
        return CONFIG.formatted(discovery, 1_024, "", 15_000_000);
    }

    /** Has the proxy read a new configuration, as SIGHUP does. */
    public void reload(String json) throws IOException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, json);
            serve.reload(file);
        } finally {
            Files.delete(file);
        }
    }

    /** Formats an entry of an endpoint list. */
    public static String endpointJson(String id, String address, String state) {
        return "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":1,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":7}"
                .formatted(id, address, state);
    }

    /** Formats a response of discovery: a complete list or changed entries. */
    public static String endpointListJson(long version, boolean full, String... entries) {
        return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}".formatted(version, full, String.join(",", entries));
    }

    /** A module that makes one attempt for each request, and fails the request if the attempt fails. */
    public static StubLoadBalancer singleAttemptTo(String backend) {
        return singleAttemptTo(backend, 0);
    }

    /**
     * As {@link #singleAttemptTo(String)}, with a timeout for the attempts in microseconds; 0: the request's deadline.
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

    /** As {@link #singleAttemptTo}, but watches the endpoint list first; see {@link #answerWatchCall(String...)}. */
    public static StubLoadBalancer singleAttemptWithWatch(String backend) {
        var watches = new boolean[1];
        return (event, actions) -> {
            if (!watches[0]) {
                watches[0] = true;
                actions.accept(new Action.WatchEndpoints(true));
            }
            singleAttemptTo(backend).handle(event, actions);
        };
    }

    /** Responds to the first call of the watch with changed entries; returns the connection of the next call. */
    public RawConnection answerWatchCall(String... entries) throws IOException {
        RawConnection watch = discovery.accept();
        watch.read();
        watch.send(ScriptedServer.ok(endpointListJson(42, false, entries)));
        RawConnection next = discovery.accept();
        next.read();
        return next;
    }

    /** An idempotent request of the protocol. */
    public static String get(String id) {
        return "GET /api?k=u1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout: 1900m\r\n\r\n";
    }

    /** As {@link #get}, with a timeout longer than any test. */
    public static String getWithLongTimeout(String id) {
        return get(id).replace("1900m", "60000m");
    }

    /** A request that is idempotent with an idempotency key. */
    public static String post(String id, String body) {
        return "POST /api?k=u%201&x HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: pay\r\nX-Tenant-Id: acme\r\nX-Timeout: 1900m\r\nIdempotency-Key: 5c0f"
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Connects a client. */
    public RawConnection connectClient() throws IOException {
        return RawConnection.connectTo(address);
    }

    /** Waits until the proxy has handled everything that it received before. */
    public void awaitInputHandled() throws IOException {
        try (RawConnection probe = connectClient()) {
            probe.send("GET /ready HTTP/1.1\r\n\r\n").read();
        }
    }

    /** Waits for the next event of a type, and drops those before it. */
    public <T extends Event> T awaitEvent(Class<T> type) throws InterruptedException {
        while (true) {
            Event event = ScriptedServer.awaitNext(events);
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    /** Returns the number of requests that await a response or have attempts in flight. */
    public int openRequests() {
        return serve.openRequests();
    }

    /** Returns the number of clients' connections. */
    public int connectedClients() {
        return serve.connectedClients();
    }

    /** Runs a graceful shutdown; returns at its end. */
    public void drain() {
        serve.drain();
    }

    @Override
    public void close() throws IOException {
        serve.stop();
        discovery.close();
    }
}
