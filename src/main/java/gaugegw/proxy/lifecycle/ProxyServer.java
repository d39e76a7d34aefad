package gaugegw.proxy.lifecycle;

import gaugegw.balancer.EarliestDeadlineLoadBalancer;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.proxy.client.Frontend;
import gaugegw.proxy.config.InvalidConfigException;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.discovery.EndpointWatcher;
import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.logging.SampledLog;
import gaugegw.proxy.logging.TrafficCounters;
import gaugegw.proxy.memory.MemoryBudget;
import gaugegw.proxy.memory.MemoryLimiter;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import gaugegw.proxy.transport.PeriodicTask;
import gaugegw.proxy.transport.Transport;
import gaugegw.proxy.upstream.UpstreamClient;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One proxy: creates and connects its parts, starts them, reloads the configuration, and drains and stops the proxy.
 * Its methods may be called on any thread except the event loop, because several of them block until the event loop has
 * run a task. The proxy owns the event loop of its transport and ends it in {@link #stop}.
 */
public final class ProxyServer {
    /** Interval at which the counts of requests and attempts are logged, in microseconds. */
    private static final long COUNTERS_LOG_INTERVAL_US = 10_000_000;

    private final ProxyConfig config;
    private final Transport transport;
    private final RateLimitedLog log = new RateLimitedLog();
    private final TrafficCounters counters = new TrafficCounters();
    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final EndpointWatcher endpointWatcher;
    private final Frontend frontend;
    private final GracefulShutdown shutdown;
    /** Written by the thread that stops the proxy, read by a thread of Netty. */
    private volatile boolean stopping;

    /** Creates a proxy that uses sockets and the production load balancer. */
    ProxyServer(ProxyConfig config) {
        this(config, new EarliestDeadlineLoadBalancer(config.settings()));
    }

    /** Creates a proxy that uses sockets. */
    public ProxyServer(ProxyConfig config, LoadBalancer loadBalancer) {
        this(config, loadBalancer, Transport.sockets());
    }

    /**
     * Creates a proxy that neither listens nor connects yet.
     *
     * @param transport creates the connections; its event loop must not be shared with another proxy
     */
    public ProxyServer(ProxyConfig config, LoadBalancer loadBalancer, Transport transport) {
        this.config = config;
        this.transport = transport;
        loop = transport.loop();
        var clock = new Clock();
        var settings = config.settings();
        transport.setSocketFailureListener(new SocketFailureLog(new SampledLog(clock::nowUs, log), counters));
        var limiter = new ConnectionLimiter(loop, config.descriptorLimit());
        var memory = new MemoryLimiter(clock::nowUs, log, MemoryBudget.ofRuntime(config.memoryLimitBytes()));
        var upstreams = new UpstreamClient(
                clock, transport, limiter, memory, config.backendIdleTimeoutUs(), config.connectTimeoutUs());
        dispatcher = new RequestDispatcher(clock, loop, log, counters, settings, loadBalancer, upstreams);
        endpointWatcher = new EndpointWatcher(transport, log, dispatcher, config.discoveryAddress(), settings);
        dispatcher.setEndpointWatcher(endpointWatcher);
        frontend = new Frontend(
                clock,
                log,
                counters,
                dispatcher,
                limiter,
                memory,
                settings,
                () -> endpointWatcher.firstCallFuture().isDone() && upstreams.hasReadyEndpoint());
        shutdown = new GracefulShutdown(loop, log, config, frontend, dispatcher, this::logCounters);
    }

    /**
     * Sets an action that runs if the event loop ends although {@link #stop} was not called, as after an error that
     * nothing has caught. No request can be served then. The action runs on a thread of Netty.
     */
    void onUnexpectedEnd(Runnable action) {
        loop.terminationFuture().addListener(f -> {
            if (!stopping) {
                action.run();
            }
        });
    }

    /**
     * Starts to serve clients. Waits until the proxy listens.
     *
     * @return the listen address, or empty if the drain has already begun: the proxy then stops listening at once
     * @throws InvalidConfigException if the proxy can't listen on the configured address
     */
    public Optional<InetSocketAddress> start() throws InvalidConfigException {
        ChannelFuture bound = listen().awaitUninterruptibly();
        if (shutdown.hasBegun()) {
            bound.channel().close();
            return Optional.empty();
        }
        if (!bound.isSuccess()) {
            throw InvalidConfigException.cannotListen(config.listenAddress().toString(), bound.cause());
        }
        var address = (InetSocketAddress) bound.channel().localAddress();
        logWithName("listening on " + address.getPort()
                + (config.isFirstStart() ? "" : ", restarted with a cached endpoint list"));
        return Optional.of(address);
    }

    /**
     * Loads the cached endpoints and starts listening. If discovery is a local agent, first waits until the first call
     * to it has ended.
     *
     * @return the future of the bind, which may fail
     */
    ChannelFuture listen() {
        loop.execute(() -> endpointWatcher.loadCachedEndpoints(config.cachedEndpoints()));
        PeriodicTask.start(loop, COUNTERS_LOG_INTERVAL_US, this::logCounters, this::countersNotLogged);
        if (endpointWatcher.hasLocalAgent()) {
            // A proxy must comply with a pushed update from its first request on, so it accepts no client before the
            // agent has sent the current list, or the call to it has failed.
            endpointWatcher.firstCallFuture().awaitUninterruptibly();
        }
        return frontend.listen(transport, config.listenAddress());
    }

    /**
     * Reads the configuration file and applies the new configuration; an invalid one is logged and ignored. Blocks the
     * calling thread while it reads. Concurrent calls run one after the other, so that the file's contents at the last
     * call take effect.
     */
    public synchronized void reload(Path file) {
        try {
            applyConfig(ProxyConfig.read(file));
        } catch (InvalidConfigException e) {
            rejectConfig(e);
        }
    }

    /** Applies the discovery address of a new configuration. Other changes take effect when the process restarts. */
    void applyConfig(ProxyConfig changed) {
        InetSocketAddress address = changed.discoveryAddress();
        loop.execute(() -> {
            log.write(config.name() + ": configuration reloaded, discovery address " + address);
            endpointWatcher.changeAddress(address);
        });
    }

    /** Logs why a new configuration is invalid. The current one stays in use. */
    void rejectConfig(Exception reason) {
        loop.execute(() -> log.write(
                config.name() + ": can't use the new configuration, keeping the current one: " + reason.getMessage()));
    }

    private void logCounters() {
        counters.logAndReset(log, config.name() + ": since the last such line:");
    }

    private void countersNotLogged(Throwable failure) {
        log.writeException(config.name() + ": could not log the counts of requests, trying again", failure);
    }

    /** Logs a line that begins with the proxy's name. */
    void logWithName(String text) {
        loop.execute(() -> log.write(config.name() + ": " + text));
    }

    /**
     * Shuts down gracefully: answers all requests in flight and closes the clients' connections, so that they reconnect
     * to another proxy. Returns early enough for the process to end before SIGKILL.
     */
    public void drain() {
        shutdown.run();
    }

    /** Returns the number of requests that await a response or have an attempt in flight. */
    public int openRequests() {
        return dispatcher.openRequests();
    }

    /** Returns the number of clients' connections, as {@link Frontend#connectedClients} counts them. */
    public int connectedClients() {
        return frontend.connectedClients();
    }

    /** Ends the event loop and with it all connections. Returns when the event loop has ended. */
    public void stop() {
        stopping = true;
        loop.submit(() -> endpointWatcher.watch(false)).awaitUninterruptibly();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
