package gaugegw.proxy.client;

import gaugegw.proxy.logging.RateLimitedLog;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CodecException;
import java.io.IOException;

/** The last handler in a connection's pipeline: closes the connection if a handler before it has thrown an exception. */
final class ClientExceptionHandler extends ChannelInboundHandlerAdapter {
    private final RateLimitedLog log;

    ClientExceptionHandler(RateLimitedLog log) {
        this.log = log;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // I/O and codec errors are not logged: clients cause them when they disconnect or send an incomplete request.
        if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
            log.writeException(
                    "unexpected error on the connection of client "
                            + ctx.channel().remoteAddress() + ", closing it",
                    cause);
        }
        ctx.close();
    }
}
