package gaugegw.proxy.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket that accepts again shortly after an accept has failed. Netty would accept no connection for a
 * second, longer than the clients in the backlog wait for their responses. Used on the event loop only.
 */
final class RetryingServerSocketChannel extends NioServerSocketChannel {
    /**
     * The number of failures in a row after which accepting pauses. Each pause lets the clients in the backlog wait,
     * whose timeouts the proxy counts only from when it has read their requests.
     */
    private static final int MAX_FAILURES_WITHOUT_PAUSE = 8;

    /**
     * Interval at which connections are accepted that the selector has not reported, in milliseconds: the registration
     * of the channel may have failed, which the Java runtime does not tell.
     */
    private static final long UNREPORTED_ACCEPT_INTERVAL_MS = 100;

    private final SocketFailureListener listener;
    private final SocketCallRetry accepts;
    private final BacklogWait backlogWait = new BacklogWait(System::nanoTime);

    RetryingServerSocketChannel(SocketFailureListener listener) {
        this.listener = listener;
        this.accepts = new SocketCallRetry("accept", this, listener);
    }

    @Override
    protected void doBind(SocketAddress localAddress) throws Exception {
        super.doBind(localAddress);
        Future<?> accepting = eventLoop()
                .scheduleWithFixedDelay(
                        this::acceptNow,
                        UNREPORTED_ACCEPT_INTERVAL_MS,
                        UNREPORTED_ACCEPT_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
        closeFuture().addListener(f -> accepting.cancel(false));
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket = acceptOrPause();
        if (socket == null) {
            return 0;
        }
        backlogWait.mayFill();
        accepted.add(new RetryingSocketChannel(this, socket, listener, backlogWait.connectedSinceNs()));
        return 1;
    }

    /** Returns the next connection; null if there is none, or if accepts have failed and pause now. */
    private SocketChannel acceptOrPause() throws ClosedChannelException {
        for (int failures = 1; ; failures++) {
            try {
                SocketChannel socket = javaChannel().accept();
                accepts.succeeded();
                if (socket == null) {
                    backlogWait.foundEmpty();
                }
                return socket;
            } catch (ClosedChannelException e) {
                throw e;
            } catch (IOException e) {
                if (failures < MAX_FAILURES_WITHOUT_PAUSE) {
                    listener.callFailed("accept", this, e);
                } else {
                    // No further accept event, which would come at once, until the delay has passed.
                    clearReadPending();
                    backlogWait.mayFill();
                    accepts.failed(e, this::resumeAccepting);
                    return null;
                }
            }
        }
    }

    /**
     * Pauses or resumes accepting, for the limit on connections. When it is resumed, one more accept shows whether
     * connections have waited.
     */
    void setAccepting(boolean accepting) {
        backlogWait.mayFill();
        config().setAutoRead(accepting);
        if (accepting) {
            eventLoop().execute(this::acceptNow);
        }
    }

    private void acceptNow() {
        if (isOpen() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    /** Accepts again, unless {@link ConnectionLimiter} has meanwhile paused that. */
    private void resumeAccepting() {
        if (config().isAutoRead()) {
            read();
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        // Null while the constructor of the superclass runs.
        if (accepts == null || !accepts.isWaiting()) {
            super.doBeginRead();
        }
    }
}
