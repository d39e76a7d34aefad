package gaugegw.proxy.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.IoRegistration;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A TCP connection that survives a read or write that fails for a moment. Netty closes the channel after any error of a
 * read or write, and takes an interrupted read for the end of the peer's output; the request on the connection would
 * stay unanswered. See {@link SocketCallRetry} for which errors end the connection. Used on the event loop only.
 */
final class RetryingSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;
    /** The number of interrupted calls (EINTR) after which the next one is left to the next run of the selector. */
    private static final int MAX_INTERRUPTED_CALLS = 16;

    /**
     * Interval at which a channel is read that the selector has not reported yet, in milliseconds; below the shortest
     * time limits of requests.
     */
    private static final long UNREPORTED_READ_INTERVAL_MS = 100;

    private static final long REGISTER_AGAIN_DELAY_MS = 1;

    private final SocketCallRetry reads;
    private final SocketCallRetry writes;

    /** Since when the connection may have been established, as {@link System#nanoTime}. */
    private final long connectedSinceNs;

    /**
     * Whether the selector has reported the channel since it was registered for reads. Until then the registration may
     * have failed, which the Java runtime does not tell: it ignores the errors of {@code epoll_ctl}.
     */
    private boolean reported;

    private boolean unreportedReadScheduled;
    /** Whether the current read was not caused by the selector. */
    private boolean readingUnreported;
    /** Whether the last read that was not caused by the selector has found anything. */
    private boolean foundUnreported;

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
        reported |= !readingUnreported;
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
        foundUnreported |= readingUnreported && bytes > 0;
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
        if (isOpen() && config().isAutoRead()) {
            read();
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        // Null while the constructor of the superclass runs.
        if (reads == null || !reads.isWaiting()) {
            reported &= isRegisteredForReads();
            super.doBeginRead();
            scheduleUnreportedRead();
        }
    }

    /** Returns whether the channel need not be registered for reads, as after a pause: that may fail. */
    private boolean isRegisteredForReads() {
        IoRegistration registration = registration();
        if (registration == null || !registration.isValid()) {
            return true;
        }
        SelectionKey key = registration.attachment();
        return (key.interestOps() & SelectionKey.OP_READ) != 0;
    }

    private void scheduleUnreportedRead() {
        if (!reported && !unreportedReadScheduled) {
            unreportedReadScheduled = true;
            eventLoop().schedule(this::readUnreported, UNREPORTED_READ_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Reads the channel although the selector has not reported it. */
    void readNow() {
        readingUnreported = true;
        unsafe().read();
        readingUnreported = false;
    }

    /**
     * Reads the channel if the selector has not reported it yet; if that finds anything, registers it again. While
     * reading is suspended, nothing is read: when it is resumed, this is scheduled again.
     */
    private void readUnreported() {
        unreportedReadScheduled = false;
        if (reported || !isOpen() || !config().isAutoRead()) {
            return;
        }
        foundUnreported = false;
        readNow();
        if (foundUnreported && isOpen()) {
            // The selector has to run in between, or it would see no change.
            clearReadPending();
            eventLoop().schedule(this::resumeReading, REGISTER_AGAIN_DELAY_MS, TimeUnit.MILLISECONDS);
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
