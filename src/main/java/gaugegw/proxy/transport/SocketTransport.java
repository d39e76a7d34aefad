package gaugegw.proxy.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;
import jdk.net.ExtendedSocketOptions;

/** A transport over TCP sockets. */
final class SocketTransport implements Transport {
    /**
     * Maximum number of connections accepted in one iteration of the event loop. They are counted only after all of
     * them have been accepted; therefore {@link DescriptorBudget} reserves a descriptor for each.
     */
    static final int MAX_ACCEPTS_PER_ITERATION = 32;

    /**
     * Maximum number of reads from one client's socket in one iteration of the event loop. With {@link
     * #MAX_READ_BYTES}, a close that follows up to 1 MiB of unread bytes is read with them.
     */
    private static final int MAX_READS_PER_ITERATION = 256;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2_048;
    /** Limits how long the input of one read can take to decode. */
    private static final int MAX_READ_BYTES = 4_096;

    /** Number of new connections that the kernel queues, for example while accepting is paused. */
    private static final int LISTEN_BACKLOG = 1_024;

    /** Loads a library when it is first used, which takes a descriptor: here, not when the process has run out of them. */
    private static final ChannelOption<Boolean> QUICK_ACKNOWLEDGEMENT =
            NioChannelOption.of(ExtendedSocketOptions.TCP_QUICKACK);

    private final EventLoop loop;
    private final ServerBootstrap server;
    private final Bootstrap client;
    /** Null until {@link #setSocketFailureListener} is called. */
    private SocketFailureListener failureListener;
    /** Whether the kernel may know the option; false once it has said that it does not (ENOPROTOOPT). */
    private boolean quickAcknowledgementSupported = true;
    /** Receives the byte that {@link #hasNothingToRead} may read; its content is ignored. */
    private final ByteBuffer probeBuffer = ByteBuffer.allocateDirect(1);

    SocketTransport() {
        preloadLogFormatting();
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        server = newServerBootstrap(loop).channelFactory(() -> new RetryingServerSocketChannel(this::callFailed));
        client = new Bootstrap().group(loop).channelFactory(() -> new RetryingSocketChannel(this::callFailed));
    }

    /**
     * Formats a log record as Netty's logging does. The first such call opens files, such as those of the time zones.
     * If it were made only when the process has run out of descriptors, it would fail, and the error would end the
     * event loop.
     */
    private static void preloadLogFormatting() {
        new SimpleFormatter().format(new LogRecord(Level.WARNING, ""));
    }

    private static ServerBootstrap newServerBootstrap(EventLoop loop) {
        return new ServerBootstrap()
                .group(loop)
                // If only one connection were accepted per iteration, clients would time out in the backlog while the
                // event loop is busy.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_ITERATION))
                // Read until nothing is left, up to the maximum: a close by the client shows only after its last byte.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS_PER_ITERATION))
                // A client that has shut down its output may still be waiting for responses.
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
            int bytes = socket(channel).read(probeBuffer.clear());
            // Below -1: the read was interrupted. A second one tells; if it is interrupted too, nothing is known.
            return (bytes < -1 ? socket(channel).read(probeBuffer.clear()) : bytes) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void acknowledgeReceived(Channel channel) {
        assert loop.inEventLoop();
        if (!quickAcknowledgementSupported) {
            return;
        }
        try {
            channel.config().setOption(QUICK_ACKNOWLEDGEMENT, true);
        } catch (ChannelException e) {
            // The kernel acknowledges what this connection has received later.
        } catch (UnsupportedOperationException e) {
            quickAcknowledgementSupported = false;
        }
    }

    @Override
    public void setSocketFailureListener(SocketFailureListener listener) {
        failureListener = listener;
    }

    private void callFailed(String call, Channel channel, IOException failure) {
        assert loop.inEventLoop();
        if (failureListener != null) {
            failureListener.callFailed(call, channel, failure);
        }
    }

    /** Returns the socket of a channel, to be read directly: a read by Netty would call the channel's handlers. */
    private static SocketChannel socket(Channel channel) {
        return (SocketChannel) ((AbstractNioChannel.NioUnsafe) channel.unsafe()).ch();
    }
}
