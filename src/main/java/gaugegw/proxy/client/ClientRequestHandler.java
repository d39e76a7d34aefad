package gaugegw.proxy.client;

import gaugegw.proxy.logging.RateLimitedLog;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;

/** The last handler in a connection's pipeline: passes complete requests to the connection, which then owns them. */
final class ClientRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final ClientConnection connection;
    private final RateLimitedLog log;

    ClientRequestHandler(ClientConnection connection, RateLimitedLog log) {
        this.connection = connection;
        this.log = log;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        connection.requestReceived(request.retain());
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
