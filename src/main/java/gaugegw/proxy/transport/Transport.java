package gaugegw.proxy.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/**
 * What connections are made of, and the one thread that serves them. A proxy serves on {@link #sockets}; the warm-up's
 * connections are {@link #inProcess}.
 */
public interface Transport {
    /** Makes a transport of TCP sockets, with an event loop of its own. Whoever makes it ends the loop. */
    static Transport sockets() {
        return new SocketTransport();
    }

    /** Makes a transport of channels inside the process, with an event loop of its own. Whoever makes it ends the loop. */
    static Transport inProcess() {
        return new InProcessTransport();
    }

    /**
     * Reads what a socket has received, an end or a reset too, ahead of the loop's next selection. Its handlers run before
     * this returns, but for {@code channelInactive}, which follows as a task. Channels inside the process are left alone.
     * Not to be called while the channel is being read.
     */
    static void readNow(Channel channel) {
        assert channel.eventLoop().inEventLoop();
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    /** Returns the event loop, which all connections of this transport share. */
    EventLoop loop();

    /** Returns the template of listening channels; to be cloned. */
    ServerBootstrap serverBootstrap();

    /** Returns the template of connecting channels; to be cloned. */
    Bootstrap clientBootstrap();

    /** Returns the address by which this transport reaches what is configured under an IP address and port. */
    SocketAddress toSocketAddress(InetSocketAddress address);

    /**
     * Returns whether nothing has arrived, neither bytes nor an end, on a connection where nothing is expected and that
     * the loop is yet to read. Where something has, part of it may have been consumed: the caller closes the connection.
     */
    boolean hasNothingToRead(Channel channel);
}
