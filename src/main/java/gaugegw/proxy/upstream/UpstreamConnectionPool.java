package gaugegw.proxy.upstream;

import gaugegw.proxy.http.HttpLimits;
import gaugegw.proxy.http.StrictResponseDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;

/**
 * The connections to one endpoint. Netty's pool leaves the choice of the idle connection to its subclass: here it is
 * the one that was used last, so that the others reach the idle timeout and are closed. A connection is used only if it
 * has settled after its last response and has received nothing since: unexpected bytes would be taken for the response
 * of the next attempt. Used on the event loop only.
 */
final class UpstreamConnectionPool extends SimpleChannelPool {
    private final UpstreamContext context;
    /** In the order in which they became idle. */
    private final Deque<UpstreamConnectionHandler> idle = new ArrayDeque<>();
    /** The idle connection that the next acquisition takes; null if none is reserved. */
    private UpstreamConnectionHandler reserved;
    /** The connection that the current acquisition opens; null if it takes an idle one. */
    private ChannelFuture connecting;

    UpstreamConnectionPool(UpstreamContext context, UpstreamEndpoint endpoint) {
        super(bootstrap(context, endpoint), new ConnectionInitializer(context, endpoint));
        this.context = context;
    }

    private static Bootstrap bootstrap(UpstreamContext context, UpstreamEndpoint endpoint) {
        return context.bootstrap().clone().remoteAddress(context.transport().toSocketAddress(endpoint.address()));
    }

    /**
     * Reserves an idle connection for an attempt that starts in this turn of the event loop; closes the connections
     * that have been idle for too long.
     *
     * @return whether there is one; if not, the attempt opens a connection
     */
    boolean reserveIdle() {
        long nowUs = context.clock().nowUs();
        while (!idle.isEmpty() && idleForTooLong(idle.getFirst(), nowUs)) {
            idle.removeFirst().close();
        }
        reserved = firstUsable(nowUs);
        return reserved != null;
    }

    private boolean idleForTooLong(UpstreamConnectionHandler connection, long nowUs) {
        return !context.idleLimit().allows(nowUs - connection.idleSinceUs());
    }

    /**
     * Acquires a connection.
     *
     * @param acquired completed with the connection, possibly before this returns
     * @return the connect that was begun for it; null if an idle connection was taken
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
                reserved != null ? reserved : firstUsable(context.clock().nowUs());
        reserved = null;
        if (connection == null) {
            return null;
        }
        idle.remove(connection);
        context.limiter().backendBusy(connection.channel());
        return connection.channel();
    }

    /** Returns the settled connection that was used last, or null; closes those that have received something. */
    private UpstreamConnectionHandler firstUsable(long nowUs) {
        Iterator<UpstreamConnectionHandler> latestFirst = idle.descendingIterator();
        while (latestFirst.hasNext()) {
            UpstreamConnectionHandler connection = latestFirst.next();
            if (!connection.hasSettled(nowUs)) {
                continue;
            }
            // After a pause of the event loop bytes may have been received that its handlers have not seen yet.
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
        connection.markIdle();
        idle.addLast(connection);
        context.limiter().backendIdle(channel);
        return true;
    }

    /** Forgets a connection that was closed, so that no attempt is given it. */
    void connectionClosed(UpstreamConnectionHandler connection) {
        idle.remove(connection);
        if (reserved == connection) {
            reserved = null;
        }
    }

    /** Closes all idle connections. */
    void closeIdle() {
        reserved = null;
        // Each is removed first: its close may call back into the pool.
        for (UpstreamConnectionHandler last = idle.pollLast(); last != null; last = idle.pollLast()) {
            last.close();
        }
    }

    /** Sets up the pipeline of a new connection; the order of its handlers is described in the package comment. */
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
            channel.pipeline()
                    .addLast(
                            new HttpRequestEncoder(),
                            decoder,
                            new HttpObjectAggregator(HttpLimits.MAX_BODY_BYTES),
                            new IdleStateHandler(0, 0, context.idleTimeoutUs(), TimeUnit.MICROSECONDS),
                            new UpstreamConnectionHandler(context, endpoint, channel, decoder));
        }
    }
}
