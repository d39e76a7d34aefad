package gaugegw.proxy.lifecycle;

import io.netty.channel.ChannelHandlerContext;

/** Writes to in-process channels in a later task of the event loop. */
final class DeferredWrites {
    private DeferredWrites() {}

    /**
     * Writes and flushes a message in a separate task. Unlike a socket, an in-process channel delivers a message to
     * its peer during the write. Each response would then trigger the next request within the same call, until the
     * stack overflows. Does nothing if the event loop is shutting down.
     *
     * @param message the message, which the write releases; it is not released if the event loop is shutting down
     */
    static void writeAndFlush(ChannelHandlerContext ctx, Object message) {
        if (!ctx.executor().isShuttingDown()) {
            ctx.executor().execute(() -> ctx.writeAndFlush(message));
        }
    }
}
