package gaugegw.proxy.upstream;

import gaugegw.proxy.http.StrictResponseDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;

/**
 * The pool of connections to one endpoint. It reuses the idle connection that was used most recently, so that the
 * others reach the idle timeout and are closed. A connection is reused only if some time has passed since its last
 * response and it has received nothing in that time: unexpected bytes would be taken for the response to the next
 * attempt. Used on the event loop only.
 */
final class UpstreamConnectionPool extends SimpleChannelPool {
    private final UpstreamContext context;
    /** The idle connections, in the order in which they became idle. */
    private final Deque<UpstreamConnectionHandler> idle = new ArrayDeque<>();
    /** The idle connection that the next acquisition gets; null if none is reserved. */
    private UpstreamConnectionHandler reserved;
    /** The connect that the current acquisition has started; null if it gets an idle connection. */
    private ChannelFuture connecting;

    UpstreamConnectionPool(UpstreamContext context, UpstreamEndpoint endpoint) {
        super(bootstrap(context, endpoint), new ConnectionInitializer(context, endpoint));
        this.context = context;
    }

    private static Bootstrap bootstrap(UpstreamContext context, UpstreamEndpoint endpoint) {
        return context.bootstrap().clone().remoteAddress(context.transport().toSocketAddress(endpoint.address()));
    }

    /**
     * Prepares an acquisition in the current task of the event loop: reserves an idle connection or, if there is none,
     * makes room for a new one. Returns whether a connection can be acquired.
     */
    boolean prepareAcquire() {
        return reserveIdle() || context.limiter().makeRoomForBackend();
    }

    /**
     * Reserves an idle connection for an attempt that is started in the current task of the event loop. First closes
     * the connections that have been idle for longer than {@link LearnedIdleLimit} allows.
     *
     * @return whether a connection was reserved; if not, the attempt needs a new connection
     */
    private boolean reserveIdle() {
        long nowUs = context.clock().nowUs();
        while (!idle.isEmpty() && exceedsIdleLimit(idle.getFirst(), nowUs)) {
            idle.removeFirst().close();
        }
        reserved = latestUsable(nowUs);
        return reserved != null;
    }

    private boolean exceedsIdleLimit(UpstreamConnectionHandler connection, long nowUs) {
        return !context.idleLimit().allows(connection.idlePeriod().durationUs(nowUs));
    }

    /**
     * Acquires the reserved connection, another idle connection or a new one.
     *
     * @param acquired completed with the connection, possibly before this method returns
     * @return the connect in progress, or null if an idle connection was acquired
     */
    ChannelFuture acquireOrConnect(Promise<Channel> acquired) {
        connecting = null;
        acquire(acquired);
        return connecting;
    }

    @Override
    protected ChannelFuture connectChannel(Bootstrap bootstrap) {
        connecting = super.connectChannel(bootstrap);
        return connecting;
    }

    @Override
    protected Channel pollChannel() {
        UpstreamConnectionHandler connection =
                reserved != null ? reserved : latestUsable(context.clock().nowUs());
        reserved = null;
        if (connection == null) {
            return null;
        }
        idle.remove(connection);
        context.limiter().backendBusy(connection.channel());
        return connection.channel();
    }

    /**
     * Returns the reusable connection that became idle last, or null if there is none. Closes the
     * connections that it checks before that one and that have received something while idle.
     */
    private UpstreamConnectionHandler latestUsable(long nowUs) {
        Iterator<UpstreamConnectionHandler> latestFirst = idle.descendingIterator();
        while (latestFirst.hasNext()) {
            UpstreamConnectionHandler connection = latestFirst.next();
            if (!connection.idlePeriod().allowsReuse(nowUs)) {
                continue;
            }
            // If the event loop was delayed, the socket may hold bytes that the handlers have not received yet.
            if (context.transport().hasNothingToRead(connection.channel())) {
                return connection;
            }
            latestFirst.remove();
            connection.close();
        }
        return null;
    }

    @Override
    protected boolean offerChannel(Channel channel) {
        UpstreamConnectionHandler connection = channel.pipeline().get(UpstreamConnectionHandler.class);
        connection.idlePeriod().start(context.clock().nowUs());
        // A second response that the backend's kernel delays arrives now, and not right behind the next request.
        context.transport().acknowledgeReceived(channel);
        idle.addLast(connection);
        context.limiter().backendIdle(channel);
        return true;
    }

    /** Removes a closed connection, so that no attempt acquires it. */
    void connectionClosed(UpstreamConnectionHandler connection) {
        idle.remove(connection);
        if (reserved == connection) {
            reserved = null;
        }
    }

    /** Closes all idle connections. */
    void closeIdle() {
        reserved = null;
        // Remove each connection before closing it, as the close may call connectionClosed().
        for (UpstreamConnectionHandler last = idle.pollLast(); last != null; last = idle.pollLast()) {
            last.close();
        }
    }

    /** Sets up the pipeline of a new connection; the package documentation describes the order of the handlers. */
    private static final class ConnectionInitializer extends AbstractChannelPoolHandler {
        private final UpstreamContext context;
        private final UpstreamEndpoint endpoint;

        ConnectionInitializer(UpstreamContext context, UpstreamEndpoint endpoint) {
            this.context = context;
            this.endpoint = endpoint;
        }

        @Override
        public void channelCreated(Channel channel) {
            context.limiter().backendOpened(channel);
            var decoder = new StrictResponseDecoder();
            var aggregator = new ResponseAggregator();
            channel.pipeline()
                    .addLast(
                            new HttpRequestEncoder(),
                            decoder,
                            aggregator,
                            new IdleStateHandler(0, 0, context.idleTimeoutUs(), TimeUnit.MICROSECONDS),
                            new UpstreamConnectionHandler(context, endpoint, channel, decoder, aggregator));
        }
    }
}
