package gaugegw.proxy.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * A listening socket that accepts again shortly after an accept has failed. Netty would accept no connection for a
 * second, longer than the clients in the backlog wait for their responses. Used on the event loop only.
 */
final class RetryingServerSocketChannel extends NioServerSocketChannel {
    private final SocketFailureListener listener;
    private final SocketCallRetry accepts;

    RetryingServerSocketChannel(SocketFailureListener listener) {
        this.listener = listener;
        this.accepts = new SocketCallRetry("accept", this, listener);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        SocketChannel socket;
        try {
            socket = javaChannel().accept();
        } catch (IOException e) {
            // No further accept event, which would come at once, until the delay has passed.
            clearReadPending();
            accepts.failed(e, this::resumeAccepting);
            return 0;
        }
        accepts.succeeded();
        if (socket == null) {
            return 0;
        }
        accepted.add(new RetryingSocketChannel(this, socket, listener));
        return 1;
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
