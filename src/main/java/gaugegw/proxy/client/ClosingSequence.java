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
 * Closes a client's connection so that the client can read its last response. A socket that is closed with received
 * bytes unread is reset, and the client's kernel then discards what it has not read: the response would be lost. So the
 * proxy shuts down its output after the last response and, for a limited time, reads and drops what the client sends.
 * Owns the final error. Used on the event loop only.
 */
final class ClosingSequence {
    private enum State {
        /** Requests are read and responded to. */
        OPEN,
        /** No further request is read; an error is the last response, after those to the requests before it. */
        FINAL_ERROR_PENDING,
        /** The last response is being written, or nothing more is. */
        CLOSING,
        /** The output is shut down; what the client sends is read and dropped. */
        LINGERING
    }

    /**
     * Bytes read, beyond the kept requests, of which nothing is served. A client that sends more while it is served is
     * taken for gone, as its close would lie unread behind them; while lingering its connection is closed.
     */
    private static final long MAX_UNSERVED_BYTES = 256 * 1024;

    private final Channel channel;
    private final Clock clock;
    private final ConnectionLimiter limiter;
    private State state = State.OPEN;
    /**
     * Null unless an error is pending. May still be set in the later states: it is then released with the connection.
     */
    private FullHttpResponse finalError;
    /** The client has ended its sending, or counts as gone; it may still read. Independent of the state. */
    private boolean clientFinished;

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

    /** Returns whether no further response is written: the last one has been, or there is none. */
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

    boolean isClientFinished() {
        return clientFinished;
    }

    void setClientFinished() {
        clientFinished = true;
    }

    /** Counts bytes of which nothing is served; returns whether there have been too many. */
    boolean exceedsUnserved(int bytes) {
        unservedBytes += bytes;
        return unservedBytes >= MAX_UNSERVED_BYTES;
    }

    /** Keeps an error as the last response, and owns it from here on; called while the connection is open. */
    void deferFinalError(FullHttpResponse error) {
        finalError = error;
        state = State.FINAL_ERROR_PENDING;
    }

    /** Writes the pending error and closes the connection after it. */
    void sendFinalError() {
        FullHttpResponse error = finalError;
        finalError = null;
        HttpUtil.setKeepAlive(error, false);
        closeAfter(channel.writeAndFlush(error));
    }

    /** Closes the connection after what is still being written. */
    void closeAfterPendingWrites() {
        closeAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }

    /** Closes the connection after its last write. A connection that is lingering already goes on lingering. */
    void closeAfter(ChannelFuture lastWrite) {
        if (state != State.LINGERING) {
            state = State.CLOSING;
        }
        lastWrite.addListener(this::lastWriteCompleted);
    }

    private void lastWriteCompleted(Future<?> lastWrite) {
        boolean clientMayRead = lastWrite.isSuccess() && !clientFinished && unservedBytes < MAX_UNSERVED_BYTES;
        if (clientMayRead && channel instanceof SocketChannel socket) {
            linger(socket);
        } else {
            channel.close();
        }
    }

    private void linger(SocketChannel socket) {
        state = State.LINGERING;
        lingeringSinceUs = clock.nowUs();
        limiter.clientIdle(socket);
        socket.shutdownOutput();
    }

    /** Releases the error that could not be sent, as the connection is closed. */
    void release() {
        if (finalError != null) {
            finalError.release();
        }
    }
}
