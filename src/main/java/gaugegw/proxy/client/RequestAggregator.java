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
 * Aggregates the parts of a request into a complete request. A request with an invalid head or with a body that is too
 * long is rejected before the rest of its body is received. The rejections of Netty's aggregator are replaced, as they
 * would be written at once, before the responses to earlier requests.
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
            connection.rejectAndClose(error);
        } else {
            super.decode(ctx, part, out);
        }
    }

    /** Returns the error response for a request with an invalid head, or null if the head is valid. */
    private static FullHttpResponse errorFor(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            return PlainTextResponse.badRequest("malformed request");
        }
        if (hasUnsupportedCoding(head)) {
            return PlainTextResponse.badRequest("unsupported transfer coding");
        }
        if (hasUnsupportedExpectation(head)) {
            return PlainTextResponse.of(HttpResponseStatus.EXPECTATION_FAILED, "unsupported expectation");
        }
        return null;
    }

    /**
     * Returns whether a request has a transfer coding other than a single {@code chunked} in HTTP/1.1. Netty only looks
     * for {@code chunked} among the codings, and would misjudge where a body with another coding ends.
     */
    private static boolean hasUnsupportedCoding(HttpRequest head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean onlyChunked = codings.size() == 1
                && codings.get(0).trim().equalsIgnoreCase("chunked")
                && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        return !codings.isEmpty() && !onlyChunked;
    }

    /**
     * Returns whether the request has an expectation other than {@code 100-continue}, the only one that RFC 9110,
     * section 10.1.1, defines. Expectations of HTTP/1.0 requests are ignored.
     */
    private static boolean hasUnsupportedExpectation(HttpRequest head) {
        String expected = head.headers().get(HttpHeaderNames.EXPECT);
        return expected != null
                && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)
                && head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
    }

    @Override
    protected Object newContinueResponse(HttpMessage head, int maxBodyBytes, ChannelPipeline pipeline) {
        if (isContentLengthInvalid(head, maxBodyBytes)) {
            // handleOversizedMessage sends status 413, after the responses to the requests before this one.
            return null;
        }
        return super.newContinueResponse(head, maxBodyBytes, pipeline);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        connection.rejectAndClose(PlainTextResponse.of(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is longer than " + HttpLimits.MAX_BODY_BYTES / 1024 + " KiB"));
    }
}
