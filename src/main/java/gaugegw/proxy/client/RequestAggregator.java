package gaugegw.proxy.client;

import gaugegw.proxy.http.HttpLimits;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Aggregates the parts of a request. A request whose head is invalid, or whose body is too long, is rejected before the
 * rest of its body is received. Netty's own rejections would overtake the responses to the requests before.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final ClientConnection connection;

    RequestAggregator(ClientConnection connection) {
        super(HttpLimits.MAX_BODY_BYTES);
        this.connection = connection;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) throws Exception {
        FullHttpResponse error = part instanceof HttpRequest head ? errorFor(head) : null;
        if (error != null) {
            ReferenceCountUtil.release(part);
            connection.endWithError(error);
        } else {
            super.decode(ctx, part, out);
        }
    }

    /** Returns the error that a request is rejected with for its head; null if the head is valid. */
    private static FullHttpResponse errorFor(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            return PlainTextResponse.badRequest("malformed request");
        }
        if (hasUnsupportedCoding(head)) {
            return PlainTextResponse.badRequest("unsupported transfer coding");
        }
        if (expectsMoreThanContinue(head)) {
            return PlainTextResponse.of(HttpResponseStatus.EXPECTATION_FAILED, "unsupported expectation");
        }
        return null;
    }

    /** Netty only looks for {@code chunked} among the codings, and would misread where a body in any other one ends. */
    private static boolean hasUnsupportedCoding(HttpRequest head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean onlyChunked = codings.size() == 1
                && codings.get(0).trim().equalsIgnoreCase("chunked")
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        return !codings.isEmpty() && !onlyChunked;
    }

    /** RFC 9110, 10.1.1: there is one expectation, and HTTP/1.0 knows none. */
    private static boolean expectsMoreThanContinue(HttpRequest head) {
        String expected = head.headers().get(HttpHeaderNames.EXPECT);
        return expected != null
                && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)
                && head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
    }

    @Override
    protected Object newContinueResponse(HttpMessage head, int maxBodyBytes, ChannelPipeline pipeline) {
        if (isContentLengthInvalid(head, maxBodyBytes)) {
            // handleOversizedMessage responds, after the requests before this one.
            return null;
        }
        return super.newContinueResponse(head, maxBodyBytes, pipeline);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        connection.endWithError(PlainTextResponse.of(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is longer than " + HttpLimits.MAX_BODY_BYTES / 1024 + " KiB"));
    }
}
