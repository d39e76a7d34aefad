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

/**
 * Responds to requests like a backend or, on discovery's paths, like discovery. Has no state per connection, so one
 * instance serves all connections.
 */
@ChannelHandler.Sharable
final class StubServer extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String DISCOVERY_PATH_PREFIX = "/v1/";

    private final byte[] endpointList;

    /**
     * Creates a server.
     *
     * @param endpointList the response of discovery
     */
    StubServer(String endpointList) {
        this.endpointList = endpointList.getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns the initializer for the connections that this server accepts. */
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
        if (!request.uri().startsWith(DISCOVERY_PATH_PREFIX)) {
            respond(ctx, SyntheticRequests.BODY);
        } else if (!isHeld(request.uri())) {
            respond(ctx, endpointList);
        }
    }

    /**
     * Returns whether a call to discovery is held until the list changes. As the list never changes, such a call is
     * never answered.
     */
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
