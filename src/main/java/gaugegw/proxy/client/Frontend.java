package gaugegw.proxy.client;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.logging.SampledLog;
import gaugegw.proxy.logging.TrafficCounters;
import gaugegw.proxy.memory.MemoryLimiter;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import gaugegw.proxy.transport.PeriodicTask;
import gaugegw.proxy.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

/**
 * Listens for clients, accepts their connections and closes them in a graceful shutdown. Used on the event loop only,
 * except where a method says otherwise.
 */
public final class Frontend {
    /** Interval at which the time limits of all connections are checked, in microseconds. */
    private static final long TIME_LIMIT_CHECK_INTERVAL_US = 100_000;

    /**
     * Retry-After of a request that is rejected for lack of memory, in microseconds, if the settings permit as much.
     * Most of the memory that incomplete requests hold is free by then.
     */
    private static final long OVERLOAD_RETRY_AFTER_US = 1_000_000;

    private final ClientContext context;
    /** The listening channel; null until {@link #listen} is called. */
    private Channel listeningChannel;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param canServe returns whether the proxy can serve requests; called on the event loop for each readiness check
     */
    public Frontend(
            Clock clock,
            RateLimitedLog log,
            TrafficCounters counters,
            RequestDispatcher dispatcher,
            ConnectionLimiter limiter,
            MemoryLimiter memory,
            BalancerSettings settings,
            BooleanSupplier canServe) {
        context = new ClientContext(
                clock,
                log,
                counters,
                new UnansweredRequests(clock, log, counters),
                dispatcher,
                limiter,
                memory,
                Math.min(OVERLOAD_RETRY_AFTER_US, settings.limits().maxRetryAfterUs()),
                new ClientRequestParser(settings, dispatcher::isIdInUse),
                new EventLoopDelayEstimator(clock),
                new DecodeScheduler(clock),
                new SampledLog(clock::nowUs, log),
                new ClientConnectionRegistry(),
                new DrainState(canServe));
    }

    /** Starts listening and returns the future of the bind. May be called on any thread. */
    public ChannelFuture listen(Transport transport, InetSocketAddress address) {
        context.delayEstimator().start(transport.loop(), this::taskFailed);
        // One timer serves all connections: a timer per connection would have to be rescheduled with each request.
        PeriodicTask.start(transport.loop(), TIME_LIMIT_CHECK_INTERVAL_US, this::enforceTimeLimits, this::taskFailed);
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
        listeningChannel = bound.channel();
        context.limiter().setListeningChannel(listeningChannel);
        return bound;
    }

    private void enforceTimeLimits() {
        context.connections().enforceTimeLimits(context.clock().nowUs());
    }

    private void taskFailed(Throwable failure) {
        context.log().writeException("a periodic task of the frontend failed, it runs again at its next turn", failure);
    }

    /**
     * Makes readiness checks fail from now on, so that clients choose another proxy. Requests that still arrive are
     * served.
     */
    public void reportNotReady() {
        context.drainState().reportNotReady();
    }

    /** Stops accepting connections; the kernel resets those that wait in the backlog. */
    public void stopListening() {
        if (listeningChannel != null) {
            listeningChannel.close();
        }
    }

    /**
     * Closes each connection after its next response from now on, so that its client chooses another proxy. If more
     * requests have already been received on the connection, it is closed after the last of their responses.
     */
    public void closeAfterResponses() {
        context.drainState().closeAfterResponses();
    }

    /** Closes the connections that have no request in flight and no incomplete request. */
    public void closeIdleConnections() {
        context.connections().closeIdle();
    }

    /**
     * Returns the number of connections on which a client may still send a request, wait for a response or read one.
     * May be called on any thread; outside the event loop the number may be out of date.
     */
    public int connectedClients() {
        return context.connections().awaitedCount();
    }
}
