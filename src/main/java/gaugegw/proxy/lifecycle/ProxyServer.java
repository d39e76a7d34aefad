package gaugegw.proxy.lifecycle;

import gaugegw.balancer.EarliestDeadlineLoadBalancer;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.proxy.client.Frontend;
import gaugegw.proxy.config.ConfigFileWatcher;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.discovery.EndpointWatcher;
import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import gaugegw.proxy.transport.Transport;
import gaugegw.proxy.upstream.UpstreamClient;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Runs one real proxy: puts its parts together, reads a new configuration, and ends when it is told to. */
public final class ProxyServer {
    /** Standing page: a restarted process has to be ready within this time on a short day, in milliseconds. */
    static final long READY_WITHIN_MS = 6_000;
    /** The start of the Java runtime, of which a share of a core makes several times its usual time, in milliseconds. */
    static final long RUNTIME_START_MS = 500;
    /**
     * Time limit of the warm-up at a first start, in milliseconds: clients are admitted only once it is over. A restart
     * where the list has never changed can't be told from a first start, so the limit leaves time for all else that comes
     * before a process is ready.
     */
    static final long WARMUP_LIMIT_MS = READY_WITHIN_MS - RUNTIME_START_MS - EndpointWatcher.FIRST_SERVICE_TIMEOUT_MS;

    private static final long TRAINING_LIMIT_MS = 60_000;

    private final ProxyConfig config;
    private final Transport transport;
    private final RateLimitedLog log = new RateLimitedLog();
    private final EventLoop loop;
    private final RequestDispatcher proxy;
    private final EndpointWatcher discovery;
    private final Frontend frontend;
    private final GracefulShutdown shutdown;

    ProxyServer(ProxyConfig config) {
        this(config, new EarliestDeadlineLoadBalancer(config.settings()));
    }

    public ProxyServer(ProxyConfig config, LoadBalancer module) {
        this(config, module, Transport.sockets());
    }

    public ProxyServer(ProxyConfig config, LoadBalancer module, Transport transport) {
        this.config = config;
        this.transport = transport;
        loop = transport.loop();
        var clock = new Clock();
        var settings = config.settings();
        var limiter = new ConnectionLimiter(loop, config.sockets());
        var backends = new UpstreamClient(clock, transport, limiter, config.connIdleUs(), config.connectTimeoutUs());
        proxy = new RequestDispatcher(clock, loop, log, settings, module, backends);
        discovery = new EndpointWatcher(transport, log, proxy, config.discovery(), settings);
        proxy.setEndpointWatcher(discovery);
        frontend = new Frontend(
                clock,
                log,
                proxy,
                limiter,
                settings,
                () -> discovery.firstCallEnded().isDone() && backends.anyReady());
        shutdown = new GracefulShutdown(loop, log, config, frontend, proxy);
    }

    /**
     * Serves until the process is told to end.
     *
     * @param args not used: all that a proxy is told stands in the file that {@code PROXY_CONFIG} names
     */
    public static void main(String[] args) {
        try {
            Path file = file();
            ProxyConfig config = ProxyConfig.read(file);
            if (config.isFirstStart()) {
                Warmup.run(config, WARMUP_LIMIT_MS);
            }
            var serve = new ProxyServer(config);
            // Before it listens: without a handler either signal ends the process, whatever it has taken by then.
            Runtime.getRuntime().addShutdownHook(new Thread(serve::drainAndHalt, "drain"));
            serve.handleTermination();
            serve.handleReload(file);
            serve.start();
        } catch (ProxyConfig.InvalidConfigException e) {
            exit(e);
        }
    }

    /** Loads what {@code serve} needs, and ends: the Java runtime keeps it in an archive for the starts to come. */
    public static void loadClasses() {
        try {
            ProxyConfig config = ProxyConfig.read(file());
            Warmup.run(config, TRAINING_LIMIT_MS);
            SignalHandlers.install(SignalHandlers.RELOAD, () -> {});
            // On a port that is free: what it listens with and connects with is loaded too.
            var serve = new ProxyServer(config.listeningAt(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
            serve.listen().awaitUninterruptibly();
            serve.stop();
        } catch (ProxyConfig.InvalidConfigException e) {
            exit(e);
        }
    }

    private static Path file() throws ProxyConfig.InvalidConfigException {
        String file = System.getenv("PROXY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ProxyConfig.InvalidConfigException("PROXY_CONFIG is not set");
        }
        return Path.of(file);
    }

    private static void exit(ProxyConfig.InvalidConfigException e) {
        System.err.println("bad configuration: " + e.getMessage());
        // There is nobody to drain for.
        Runtime.getRuntime().halt(2);
    }

    /** The runtime's own handler does the same; installing one shows whether the signal can be received at all. */
    private void handleTermination() {
        if (!SignalHandlers.install(SignalHandlers.TERMINATE, () -> System.exit(0))) {
            report("SIGTERM is inherited as ignored: nothing but SIGKILL ends this process, and without a drain");
        }
    }

    /** Reloads at each signal, or where it can't be received at each replacement of the file, but never at both. */
    private void handleReload(Path file) {
        if (SignalHandlers.install(SignalHandlers.RELOAD, () -> reload(file))) {
            return;
        }
        report("SIGHUP is inherited as ignored: " + file + " is polled every " + ConfigFileWatcher.POLL_INTERVAL_MS
                + " ms for a new configuration");
        new ConfigFileWatcher(file, config, this::apply, this::rejectConfig).start();
    }

    private void drainAndHalt() {
        drain();
        // All is answered and nothing is left to be tidied up.
        Runtime.getRuntime().halt(0);
    }

    private void report(String text) {
        loop.execute(() -> log.line(config.name() + ": " + text));
    }

    ChannelFuture listen() {
        loop.execute(() -> discovery.loadCachedEndpoints(config.cachedEndpoints()));
        if (discovery.pushed()) {
            // What has changed since this proxy last ran binds from the first moment: no client is let in before it is
            // heard.
            discovery.firstCallEnded().awaitUninterruptibly();
        }
        return frontend.listen(transport, config.listen());
    }

    /**
     * Begins to serve.
     *
     * @return the address, or empty where the process was told to end meanwhile: nobody is let in then
     * @throws ProxyConfig.InvalidConfigException if the address can't be listened on
     */
    public Optional<InetSocketAddress> start() throws ProxyConfig.InvalidConfigException {
        ChannelFuture bound = listen().awaitUninterruptibly();
        if (shutdown.hasBegun()) {
            bound.channel().close();
            return Optional.empty();
        }
        if (!bound.isSuccess()) {
            throw new ProxyConfig.InvalidConfigException(
                    "'listen': " + bound.cause().getMessage());
        }
        var address = (InetSocketAddress) bound.channel().localAddress();
        loop.execute(() -> log.line(config.name() + ": listening on " + address.getPort()
                + (config.isFirstStart() ? "" : ", back with a list that it had")));
        return Optional.of(address);
    }

    /**
     * Reads a new configuration and applies it. Each signal comes on a thread of its own, so that reading the file holds
     * nobody up; one after the other, so that the last file counts.
     */
    public synchronized void reload(Path file) {
        try {
            apply(ProxyConfig.read(file));
        } catch (ProxyConfig.InvalidConfigException e) {
            rejectConfig(e);
        }
    }

    /** Takes over the address of discovery; all else holds until the next start. */
    private void apply(ProxyConfig changed) {
        InetSocketAddress address = changed.discovery();
        loop.execute(() -> {
            log.line(config.name() + ": new configuration, discovery is at " + address);
            discovery.moveTo(address);
        });
    }

    private void rejectConfig(Exception reason) {
        loop.execute(() -> log.line("the new configuration is left alone: " + reason.getMessage()));
    }

    /** Answers all that is taken, sends the clients elsewhere, and returns in time for the process to end. */
    public void drain() {
        shutdown.run();
    }

    /** Returns the number of requests that want an answer or have attempts out. */
    public int held() {
        return proxy.openRequests();
    }

    /** Returns the number of clients' connections. */
    public int connected() {
        return frontend.connected();
    }

    /** Ends at once, whatever is still open. */
    public void stop() {
        loop.submit(() -> discovery.watch(false)).awaitUninterruptibly();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
