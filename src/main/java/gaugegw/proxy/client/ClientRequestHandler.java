package gaugegw.proxy.client;

import gaugegw.proxy.logging.RateLimitedLog;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;

/** The last handler of a client's connection: passes complete requests to the connection, which releases them. */
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
        // Clients that disconnect or stop in the middle of a request are no fault of the proxy, and not logged.
        if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
            log.writeException("a client's connection failed", cause);
        }
        ctx.close();
    }
}
