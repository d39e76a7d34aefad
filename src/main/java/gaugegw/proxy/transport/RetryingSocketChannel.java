package gaugegw.proxy.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection that survives a read or write that fails for a moment. Netty closes the channel after any error of a
 * read or write, and takes an interrupted read for the end of the peer's output; the request on the connection would
 * stay unanswered. See {@link SocketCallRetry} for which errors end the connection. Used on the event loop only.
 */
final class RetryingSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;
    /** The number of interrupted calls (EINTR) after which the next one is left to the next run of the selector. */
    private static final int MAX_INTERRUPTED_CALLS = 16;

    private final SocketCallRetry reads;
    private final SocketCallRetry writes;

    /** Since when the connection may have been established, as {@link System#nanoTime}. */
    private final long connectedSinceNs;

    /** Creates a channel that is not connected. */
    RetryingSocketChannel(SocketFailureListener listener) {
        connectedSinceNs = System.nanoTime();
        reads = new SocketCallRetry("read", this, listener);
        writes = new SocketCallRetry("write", this, listener);
    }

    /**
     * Creates the channel of a connection that a listening channel has accepted.
     *
     * @param connectedSinceNs since when the connection may have waited to be accepted, as {@link System#nanoTime}
     */
    RetryingSocketChannel(
            Channel parent, SocketChannel accepted, SocketFailureListener listener, long connectedSinceNs) {
        super(parent, accepted);
        this.connectedSinceNs = connectedSinceNs;
        reads = new SocketCallRetry("read", this, listener);
        writes = new SocketCallRetry("write", this, listener);
    }

    /** Returns since when the client may have been connected, as {@link System#nanoTime}. */
    long connectedSinceNs() {
        return connectedSinceNs;
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        int bytes;
        try {
            bytes = readUninterrupted(buffer);
        } catch (IOException e) {
            if (reads.isFinal(e)) {
                throw e;
            }
            // No further read event, which would come at once, until the delay has passed.
            clearReadPending();
            reads.failed(e, this::resumeReading);
            return 0;
        }
        // An error that ends the connection may be reported once only, and then the end of the stream. It must not be
        // taken for the end of a response without a length.
        if (bytes == END_OF_STREAM && reads.lastFailure() != null && !config().isAllowHalfClosure()) {
            throw reads.lastFailure();
        }
        reads.succeeded();
        return bytes;
    }

    /** Reads once; an interrupted read, for which the Java runtime returns a number below -1, is repeated. */
    private int readUninterrupted(ByteBuf buffer) throws Exception {
        for (int i = 0; i < MAX_INTERRUPTED_CALLS; i++) {
            int bytes = super.doReadBytes(buffer);
            if (bytes >= END_OF_STREAM) {
                return bytes;
            }
        }
        return 0;
    }

    private void resumeReading() {
        if (config().isAutoRead()) {
            read();
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        // Null while the constructor of the superclass runs.
        if (reads == null || !reads.isWaiting()) {
            super.doBeginRead();
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
        try {
            super.doWrite(pending);
            writes.succeeded();
        } catch (IOException e) {
            if (writes.isFinal(e)) {
                throw e;
            }
            clearOpWrite();
            writes.failed(e, () -> unsafe().forceFlush());
        }
    }

    @Override
    protected void doFinishConnect() throws Exception {
        // An interrupted poll looks as if the connect were still in progress, which Netty takes for an error.
        for (int i = 0; i < MAX_INTERRUPTED_CALLS; i++) {
            if (javaChannel().finishConnect()) {
                return;
            }
        }
        super.doFinishConnect();
    }
}
