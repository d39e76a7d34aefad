package gaugegw.proxy.client;

import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;

/**
 * Closes a client's connection in such a way that the client can read its last response. If a socket is closed while
 * received bytes are unread, the kernel resets the connection, and the client's kernel then discards a response that
 * the client has not read yet. So the proxy shuts down its output after the last response and lingers: for a limited
 * time it reads and drops what the client sends.
 *
 * <p>The final error is the error response after which the proxy closes a connection, such as the response to an
 * invalid request. This class owns it until it is written. Used on the event loop only.
 */
final class ClosingSequence {
    private enum State {
        /** Requests are read and responded to. */
        OPEN,
        /** No further request is read. The final error is to be sent after the responses to the requests before it. */
        FINAL_ERROR_PENDING,
        /** No further response follows. The connection closes once everything pending is written. */
        CLOSING,
        /** The output is shut down; what the client still sends is read and dropped. */
        LINGERING
    }

    /**
     * Maximum number of bytes read from a client that belong to no request that will be served. A client that reaches
     * it is handled as if it had ended its output, because its close can be read only after these bytes. A lingering
     * connection that reaches it is closed.
     */
    private static final long MAX_UNSERVED_BYTES = 256 * 1024;

    private final Channel channel;
    private final Clock clock;
    private final ConnectionLimiter limiter;
    private State state = State.OPEN;
    /**
     * The final error, or null if there is none or it has been written. If the response to an earlier request already
     * closes the connection, the error is never sent; it stays set in {@link State#CLOSING} and {@link State#LINGERING}
     * and is released once the connection is closed.
     */
    private FullHttpResponse finalError;
    /**
     * Whether the client has shut down its output, or has reached the limit on unserved bytes and is handled as if it
     * had. It may still be reading. Independent of the state.
     */
    private boolean clientOutputEnded;

    private long unservedBytes;
    private long lingeringSinceUs;

    ClosingSequence(Channel channel, Clock clock, ConnectionLimiter limiter) {
        this.channel = channel;
        this.clock = clock;
        this.limiter = limiter;
    }

    /** Returns whether requests are still read. */
    boolean isOpen() {
        return state == State.OPEN;
    }

    boolean hasFinalError() {
        return state == State.FINAL_ERROR_PENDING;
    }

    /** Returns whether no further response follows, because the last one was handed to the channel or there is none. */
    boolean isClosing() {
        return state == State.CLOSING || state == State.LINGERING;
    }

    boolean isLingering() {
        return state == State.LINGERING;
    }

    /** Returns how long the connection has been lingering, in microseconds. */
    long lingeringForUs(long nowUs) {
        return nowUs - lingeringSinceUs;
    }

    boolean hasClientOutputEnded() {
        return clientOutputEnded;
    }

    void setClientOutputEnded() {
        clientOutputEnded = true;
    }

    /** Counts bytes that belong to no request that will be served; returns whether the limit on them is reached. */
    boolean addUnservedBytes(int bytes) {
        unservedBytes += bytes;
        return unservedBytes >= MAX_UNSERVED_BYTES;
    }

    /** Takes ownership of the final error, to be sent later. To be called in {@link State#OPEN} only. */
    void deferFinalError(FullHttpResponse error) {
        finalError = error;
        state = State.FINAL_ERROR_PENDING;
    }

    /** Writes the final error and closes the connection after it. */
    void sendFinalError() {
        FullHttpResponse error = finalError;
        finalError = null;
        HttpUtil.setKeepAlive(error, false);
        closeAfter(channel.writeAndFlush(error));
    }

    /** Closes the connection once everything that is still being written has been written. */
    void closeAfterPendingWrites() {
        closeAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }

    /**
     * Closes the connection once its last write has completed; lingers first if the client may still read. A connection
     * that is already lingering stays in that state, with its time limit, until it is closed.
     */
    void closeAfter(ChannelFuture lastWrite) {
        if (state != State.LINGERING) {
            state = State.CLOSING;
        }
        lastWrite.addListener(this::lastWriteCompleted);
    }

    private void lastWriteCompleted(Future<?> lastWrite) {
        boolean clientMayRead = lastWrite.isSuccess() && !clientOutputEnded && unservedBytes < MAX_UNSERVED_BYTES;
        if (clientMayRead && channel instanceof SocketChannel socket) {
            linger(socket);
        } else {
            channel.close();
        }
    }

    /** Shuts down the output and starts to linger. The limiter may evict the connection from now on. */
    private void linger(SocketChannel socket) {
        state = State.LINGERING;
        lingeringSinceUs = clock.nowUs();
        limiter.clientLingering(socket);
        socket.shutdownOutput();
    }

    /** Releases a final error that was not sent; to be called when the connection is closed. */
    void releaseFinalError() {
        if (finalError != null) {
            finalError.release();
        }
    }
}
