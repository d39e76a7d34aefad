package gaugegw.proxy.lifecycle;

import io.netty.channel.ChannelHandlerContext;

/** Writes to in-process channels. */
final class DeferredWrites {
    private DeferredWrites() {}

    /**
     * Writes and flushes in a task of its own. Unlike a socket, an in-process channel delivers to its peer inside the
     * write: request and response would call one another until the stack overflows. Nothing is added to an event loop
     * that is shutting down.
     *
     * @param message released by the write
     */
    static void writeAndFlush(ChannelHandlerContext ctx, Object message) {
        if (!ctx.executor().isShuttingDown()) {
            ctx.executor().execute(() -> ctx.writeAndFlush(message));
        }
    }
}
