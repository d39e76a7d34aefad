package gaugegw.proxy.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/** Connects by TCP sockets. */
final class SocketTransport implements Transport {
    /** Connections accepted in one turn of the loop; counted after the last of them, so {@link DescriptorBudget} reserves as many. */
    static final int MAX_ACCEPTS_PER_TURN = 32;

    private static final int MAX_READS_PER_TURN = 16;

    /** Connections that the kernel holds while accepting is paused. */
    private static final int LISTEN_BACKLOG = 1_024;

    private final EventLoop loop;
    private final ServerBootstrap server;
    private final Bootstrap client;
    /** Receives the byte that {@link #hasNothingToRead} may read; its content is not used. */
    private final ByteBuffer probe = ByteBuffer.allocateDirect(1);

    SocketTransport() {
        loadLogging();
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        server = serverBootstrap(loop);
        client = new Bootstrap().group(loop).channel(NioSocketChannel.class);
    }

    /**
     * Formats a line as Netty's log does. The first one opens files, such as those of the time zones. Without this, a
     * process that has run out of descriptors could not log so: the formatting would fail, and its error end the loop.
     */
    private static void loadLogging() {
        new SimpleFormatter().format(new LogRecord(Level.WARNING, ""));
    }

    private static ServerBootstrap serverBootstrap(EventLoop loop) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                // Several at a time: with one in each turn of a busy loop, clients would time out in the backlog.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_TURN))
                // Reads to the end of what has arrived, as only that shows whether the client has disconnected.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_PER_TURN))
                // A client that ends its sending may still wait for responses.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true);
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public ServerBootstrap serverBootstrap() {
        return server;
    }

    @Override
    public Bootstrap clientBootstrap() {
        return client;
    }

    @Override
    public SocketAddress toSocketAddress(InetSocketAddress address) {
        return address;
    }

    @Override
    public boolean hasNothingToRead(Channel channel) {
        assert loop.inEventLoop();
        try {
            return socket(channel).read(probe.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the socket below a channel: a read by Netty would run the channel's handlers. */
    private static SocketChannel socket(Channel channel) {
        return (SocketChannel) ((AbstractNioChannel.NioUnsafe) channel.unsafe()).ch();
    }
}
