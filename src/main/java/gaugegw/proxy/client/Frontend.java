package gaugegw.proxy.client;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import gaugegw.proxy.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The clients' side of the proxy: listens, accepts connections and ends them in a graceful shutdown. Used on the event
 * loop only, except where a method says otherwise.
 */
public final class Frontend {
    /** The interval at which the time limits of connections are checked, in microseconds. */
    private static final long EXPIRY_INTERVAL_US = 100_000;

    private final ClientContext context;
    /** Null until {@link #listen}. */
    private Channel listener;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param canServe whether the proxy can serve requests; called on the event loop for each readiness check
     */
    public Frontend(
            Clock clock,
            RateLimitedLog log,
            RequestDispatcher dispatcher,
            ConnectionLimiter limiter,
            BalancerSettings settings,
            BooleanSupplier canServe) {
        context = new ClientContext(
                clock,
                log,
                dispatcher,
                limiter,
                new ClientRequestParser(settings, dispatcher::isServing),
                new EventLoopDelayEstimator(clock),
                new ClientConnectionRegistry(),
                new DrainState(canServe));
    }

    /** Starts listening, from any thread; returns the bind. */
    public ChannelFuture listen(Transport transport, InetSocketAddress address) {
        context.delayEstimator().start(transport.loop());
        // One timer for all connections: one for each would have to be set again with each request.
        transport
                .loop()
                .scheduleWithFixedDelay(
                        this::expireConnections, EXPIRY_INTERVAL_US, EXPIRY_INTERVAL_US, TimeUnit.MICROSECONDS);
        ChannelFuture bound = transport
                .serverBootstrap()
                .clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        context.limiter().clientOpened(channel);
                        channel.pipeline().addLast(new ClientConnection(context, channel));
                    }
                })
                .bind(transport.toSocketAddress(address));
        listener = bound.channel();
        context.limiter().setListeningChannel(listener);
        return bound;
    }

    private void expireConnections() {
        context.connections().expire(context.clock().nowUs());
    }

    /** From now on readiness checks fail, so that clients choose another proxy; those that come are served. */
    public void reportNotReady() {
        context.drainState().reportNotReady();
    }

    /** Stops accepting connections; those in the kernel's backlog are reset. */
    public void stopListening() {
        if (listener != null) {
            listener.close();
        }
    }

    /** From now on each response is the last one of its connection, so that clients choose another proxy. */
    public void closeAfterResponses() {
        context.drainState().closeAfterResponses();
    }

    /** Closes the connections without a request. */
    public void closeIdleConnections() {
        context.connections().closeIdle();
    }

    /**
     * Returns the number of connections on which a client may send, wait for a response or read one. On any other thread
     * than the event loop the number may be out of date.
     */
    public int connectedClients() {
        return context.connections().activeCount();
    }
}
