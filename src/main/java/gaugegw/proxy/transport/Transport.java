package gaugegw.proxy.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Provides the means to listen and connect, and the event loop whose single thread serves all connections. A proxy uses
 * {@link #sockets} for its clients and backends and {@link #inProcess} for its warm-up.
 */
public interface Transport {
    /** Creates a transport over TCP sockets with its own event loop, which the caller must shut down. */
    static Transport sockets() {
        return new SocketTransport();
    }

    /** Creates a transport within the process with its own event loop, which the caller must shut down. */
    static Transport inProcess() {
        return new InProcessTransport();
    }

    /**
     * Reads what a socket has received, including a close or a reset, without waiting for the next run of the selector.
     * The channel's handlers are called before this method returns, except for {@code channelInactive}, which is called
     * in a later task. Does nothing for a channel within the process. Must not be called while the channel is being
     * read.
     */
    static void readNow(Channel channel) {
        assert channel.eventLoop().inEventLoop();
        if (channel instanceof RetryingSocketChannel socket) {
            socket.readNow();
        }
    }

    /**
     * Returns how long the client of an accepted connection may have been connected until now, in microseconds: it may
     * have waited in the backlog of the listening socket, and then for the event loop.
     */
    static long connectedForUs(Channel channel) {
        return channel instanceof RetryingSocketChannel accepted
                ? TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - accepted.connectedSinceNs())
                : 0;
    }

    /**
     * Sets who is notified of system calls that have failed and will be made again. To be called before the first
     * connection is made or accepted. Has no effect on a transport that makes no system calls.
     */
    default void setSocketFailureListener(SocketFailureListener listener) {}

    /** Returns the event loop that all connections of this transport share. */
    EventLoop loop();

    /** Returns the template for listening channels; the caller must clone it. */
    ServerBootstrap serverBootstrap();

    /** Returns the template for channels that connect; the caller must clone it. */
    Bootstrap clientBootstrap();

    /** Returns the address by which this transport reaches the server at a configured IP address and port. */
    SocketAddress toSocketAddress(InetSocketAddress address);

    /**
     * Returns whether the socket of a connection holds nothing that the event loop has not read yet: neither bytes, nor
     * a close or a reset. Called for idle connections, which are not expected to receive anything. If this returns
     * false, a byte may have been consumed, and the caller must close the connection.
     */
    boolean hasNothingToRead(Channel channel);

    /**
     * Makes the kernel acknowledge at once what a connection has received, instead of with the next bytes that are
     * written. The peer's kernel may delay more bytes until then (Nagle's algorithm). Has an effect on what has been
     * received so far; if it fails, the acknowledgement is delayed as usual. Does nothing for a channel within the
     * process.
     */
    default void acknowledgeReceived(Channel channel) {}
}
