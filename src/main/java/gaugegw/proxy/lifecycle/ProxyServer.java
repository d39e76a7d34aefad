package gaugegw.proxy.lifecycle;

import gaugegw.balancer.EarliestDeadlineLoadBalancer;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.proxy.client.Frontend;
import gaugegw.proxy.config.InvalidConfigException;
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
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One proxy: assembles its parts, starts them, reloads their configuration, drains and stops them. Its methods may be
 * called from any thread but the event loop, which several of them wait for. It owns the event loop of its transport,
 * which ends with {@link #stop}.
 */
public final class ProxyServer {
    private final ProxyConfig config;
    private final Transport transport;
    private final RateLimitedLog log = new RateLimitedLog();
    private final EventLoop loop;
    private final RequestDispatcher dispatcher;
    private final EndpointWatcher endpointWatcher;
    private final Frontend frontend;
    private final GracefulShutdown shutdown;

    /** Makes a proxy on sockets, with the load balancer that is in service. */
    ProxyServer(ProxyConfig config) {
        this(config, new EarliestDeadlineLoadBalancer(config.settings()));
    }

    /** Makes a proxy on sockets. */
    public ProxyServer(ProxyConfig config, LoadBalancer loadBalancer) {
        this(config, loadBalancer, Transport.sockets());
    }

    /**
     * Makes a proxy. Nothing is opened yet.
     *
     * @param transport what its connections are made of; its event loop is this proxy's alone
     */
    public ProxyServer(ProxyConfig config, LoadBalancer loadBalancer, Transport transport) {
        this.config = config;
        this.transport = transport;
        loop = transport.loop();
        var clock = new Clock();
        var settings = config.settings();
        var limiter = new ConnectionLimiter(loop, config.descriptorLimit());
        var upstreams =
                new UpstreamClient(clock, transport, limiter, config.backendIdleTimeoutUs(), config.connectTimeoutUs());
        dispatcher = new RequestDispatcher(clock, loop, log, settings, loadBalancer, upstreams);
        endpointWatcher = new EndpointWatcher(transport, log, dispatcher, config.discoveryAddress(), settings);
        dispatcher.setEndpointWatcher(endpointWatcher);
        frontend = new Frontend(
                clock,
                log,
                dispatcher,
                limiter,
                settings,
                () -> endpointWatcher.firstCallFuture().isDone() && upstreams.hasReadyEndpoint());
        shutdown = new GracefulShutdown(loop, log, config, frontend, dispatcher);
    }

    /**
     * Begins to serve.
     *
     * @return the address, or empty where the drain began meanwhile: no client is accepted then
     * @throws InvalidConfigException if the address can't be listened on
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
        report("listening on " + address.getPort()
                + (config.isFirstStart() ? "" : ", restarted with a cached endpoint list"));
        return Optional.of(address);
    }

    /** Loads the cached endpoints and listens. Returns the bind, which may have failed. */
    ChannelFuture listen() {
        loop.execute(() -> endpointWatcher.loadCachedEndpoints(config.cachedEndpoints()));
        if (endpointWatcher.hasLocalAgent()) {
            // A pushed update binds a proxy from its first request on, so no client may be accepted before its arrival.
            endpointWatcher.firstCallFuture().awaitUninterruptibly();
        }
        return frontend.listen(transport, config.listenAddress());
    }

    /**
     * Reads a new configuration and applies it; one that can't be used is logged and ignored. Reading blocks the calling
     * thread. Calls wait for one another, so that the state of the file at the last one counts.
     */
    public synchronized void reload(Path file) {
        try {
            applyConfig(ProxyConfig.read(file));
        } catch (InvalidConfigException e) {
            rejectConfig(e);
        }
    }

    /** Takes over the address of discovery; all else holds until the next start. */
    void applyConfig(ProxyConfig changed) {
        InetSocketAddress address = changed.discoveryAddress();
        loop.execute(() -> {
            log.write(config.name() + ": configuration reloaded, discovery address " + address);
            endpointWatcher.changeAddress(address);
        });
    }

    /** Logs why a new configuration can't be used; the one in force stays so. */
    void rejectConfig(Exception reason) {
        loop.execute(() -> log.write("the new configuration is left alone: " + reason.getMessage()));
    }

    /** Logs a line under the proxy's name. */
    void report(String text) {
        loop.execute(() -> log.write(config.name() + ": " + text));
    }

    /** Answers all requests in flight, has the clients reconnect elsewhere, and returns in time for the process to end. */
    public void drain() {
        shutdown.run();
    }

    /** Returns the number of requests that wait for a response or have attempts in flight. */
    public int openRequests() {
        return dispatcher.openRequests();
    }

    /** Returns the number of connected clients. */
    public int connectedClients() {
        return frontend.connectedClients();
    }

    /** Ends the event loop, and with it all connections; returns when it has ended. */
    public void stop() {
        loop.submit(() -> endpointWatcher.watch(false)).awaitUninterruptibly();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
