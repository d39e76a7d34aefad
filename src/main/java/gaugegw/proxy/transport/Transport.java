package gaugegw.proxy.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.UUID;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;

/**
 * What connections are made of, and the one thread that they are served by: sockets, or, for {@link Warmup}, Netty's
 * channels inside the process. The bootstraps are templates, to be cloned. {@code silent} tells of a connection on which
 * nothing is expected whether nothing has come, no end either, that the loop is yet to read.
 */
public record Transport(
        EventLoop loop,
        ServerBootstrap server,
        Bootstrap client,
        Function<InetSocketAddress, SocketAddress> addresses,
        Predicate<Channel> silent) {
    private static final int BACKLOG = 1_024;
    /** Each counts only after all of them are accepted: {@link DescriptorBudget} keeps so many places. */
    static final int ACCEPTED_AT_ONCE = 32;

    private static final int READS_AT_ONCE = 16;

    public static Transport sockets() {
        loadLogging();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ServerBootstrap server = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                // A few at a time: one in each turn of a busy loop lets those that wait grow old.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTED_AT_ONCE))
                // Up to the end of what has come, as that shows whether the client has gone meanwhile.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(READS_AT_ONCE))
                // The end of what a client sends is no end of what it is owed.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true);
        ByteBuffer one = ByteBuffer.allocateDirect(1);
        return new Transport(loop, server, new Bootstrap().group(loop).channel(NioSocketChannel.class), a -> a, c -> {
            try {
                return ((SocketChannel) ((AbstractNioChannel.NioUnsafe) c.unsafe()).ch()).read(one.clear()) == 0;
            } catch (IOException e) {
                return false;
            }
        });
    }

    /**
     * Formats a line as Netty's log would. The first one opens files, that of the time zones among them: where it tells
     * that descriptors have run out, it would fail, and its error would end the loop.
     */
    private static void loadLogging() {
        new SimpleFormatter().format(new LogRecord(Level.WARNING, ""));
    }

    public static Transport inProcess() {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory()).next();
        // Such addresses are the whole process's: each transport has its own.
        String world = UUID.randomUUID().toString();
        return new Transport(
                loop,
                new ServerBootstrap().group(loop).channel(LocalServerChannel.class),
                new Bootstrap().group(loop).channel(LocalChannel.class),
                a -> new LocalAddress(world + a),
                c -> true);
    }

    /**
     * Reads what a socket has received, an end or a reset too, ahead of the loop's next selection. Its handlers run before
     * this returns, but for {@code channelInactive}, which follows as a task. Channels inside the process are left alone.
     * Not to be called while the channel is being read.
     */
    public static void readNow(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    public SocketAddress address(InetSocketAddress address) {
        return addresses.apply(address);
    }
}
