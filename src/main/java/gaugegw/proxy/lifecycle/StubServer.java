package gaugegw.proxy.lifecycle;

import gaugegw.proxy.http.HttpLimits;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Answers as a backend or, on its paths, as discovery. Holds no state of a connection, so that all share it. */
@ChannelHandler.Sharable
final class StubServer extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String DISCOVERY_PATH = "/v1/";

    private final byte[] endpointList;

    /**
     * Makes a server.
     *
     * @param endpointList the answer of discovery
     */
    StubServer(String endpointList) {
        this.endpointList = endpointList.getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns what sets up a connection that this server has accepted. */
    ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new HttpServerCodec(),
                                new HttpObjectAggregator(HttpLimits.MAX_BODY_BYTES),
                                StubServer.this);
            }
        };
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (!request.uri().startsWith(DISCOVERY_PATH)) {
            respond(ctx, SyntheticRequests.BODY);
        } else if (!isHeld(request.uri())) {
            respond(ctx, endpointList);
        }
    }

    /** Returns whether a call waits for a change of the list. None comes, and such a call is never answered. */
    private static boolean isHeld(String uri) {
        return uri.contains("hold_ms") && !uri.contains("hold_ms=0");
    }

    private static void respond(ChannelHandlerContext ctx, byte[] body) {
        var response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
        HttpUtil.setContentLength(response, body.length);
        DeferredWrites.writeAndFlush(ctx, response);
    }
}
