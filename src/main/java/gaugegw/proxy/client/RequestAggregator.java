package gaugegw.proxy.client;

import gaugegw.proxy.http.BodyBuffer;
import gaugegw.proxy.http.HttpLimits;
import gaugegw.proxy.http.MessageSize;
import gaugegw.proxy.http.StrictRequestDecoder;
import gaugegw.proxy.memory.MemoryUse;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Aggregates the parts of a request into a complete request. A request with an invalid head or with a body that is too
 * long is rejected before the rest of its body is received. Unlike Netty's aggregator, this one rejects a request only
 * after the responses to earlier requests, and the memory that it holds is in proportion to the bytes received; see
 * {@link BodyBuffer}. Trailers are dropped. Owns the incomplete request. Used on the event loop only.
 */
final class RequestAggregator extends SimpleChannelInboundHandler<HttpObject> {
    private static final char LAST_ASCII_CHARACTER = 0x7f;

    private final ClientConnection connection;
    private final ChannelPipeline pipeline;
    private final BodyBuffer body = new BodyBuffer(HttpLimits.MAX_BODY_BYTES);
    /** The head of the incomplete request; null if no head has been received. */
    private HttpRequest head;

    private long headBytes;

    /**
     * Creates an aggregator without a request.
     *
     * @param pipeline the pipeline to which this handler is added after a {@link StrictRequestDecoder}
     */
    RequestAggregator(ClientConnection connection, ChannelPipeline pipeline) {
        this.connection = connection;
        this.pipeline = pipeline;
    }

    /** Returns the memory that the incomplete request and the bytes that have not been decoded hold. */
    MemoryUse use() {
        return new MemoryUse(headBytes + undecodedBytes(), body.capacity());
    }

    /** Returns the head of the incomplete request; null if it has not been received completely. */
    HttpRequest incompleteHead() {
        return head;
    }

    /** Returns the number of parts that have been decoded on this connection; 0 after {@link #dropInput}. */
    long decodedParts() {
        StrictRequestDecoder decoder = pipeline.get(StrictRequestDecoder.class);
        return decoder == null ? 0 : decoder.decodedParts();
    }

    /** Returns whether there is no part of an incomplete request. */
    boolean isEmpty() {
        return head == null && undecodedBytes() == 0;
    }

    private long undecodedBytes() {
        StrictRequestDecoder decoder = pipeline.get(StrictRequestDecoder.class);
        return decoder == null ? 0 : decoder.heapBytes();
    }

    /**
     * Drops the incomplete request and the bytes that have not been decoded, and frees their memory. The decoder is
     * removed, so no further request is received. No reference to it may be kept: it still refers to its incomplete
     * head.
     */
    void dropInput() {
        if (pipeline.get(StrictRequestDecoder.class) != null) {
            pipeline.remove(StrictRequestDecoder.class);
        }
        discard();
    }

    private void discard() {
        head = null;
        headBytes = 0;
        body.release();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        discard();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        discard();
        super.channelInactive(ctx);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (part instanceof HttpRequest received) {
            headReceived(ctx, received);
        }
        // After a rejection the decoder may still pass on parts of the same read.
        if (part instanceof HttpContent content && head != null) {
            contentReceived(content);
        }
    }

    private void headReceived(ChannelHandlerContext ctx, HttpRequest received) {
        FullHttpResponse error = errorFor(received);
        if (error != null) {
            connection.rejectAndClose(error);
            return;
        }
        head = received;
        headBytes = received.uri().length() + MessageSize.heapBytes(received.headers());
        if (HttpUtil.is100ContinueExpected(received)) {
            var proceed = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
            ctx.writeAndFlush(proceed).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    private void contentReceived(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            connection.rejectAndClose(PlainTextResponse.badRequest("malformed request"));
        } else if (!body.append(content.content())) {
            connection.rejectAndClose(bodyTooLong());
        } else if (content instanceof LastHttpContent) {
            requestCompleted();
        }
    }

    private void requestCompleted() {
        var requestUse = new MemoryUse(headBytes, body.capacity());
        var request = new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                body.take(),
                head.headers(),
                EmptyHttpHeaders.INSTANCE);
        head = null;
        headBytes = 0;
        connection.requestReceived(request, requestUse);
    }

    /** Returns the error response for a request with an invalid head, or null if the head is valid. */
    private static FullHttpResponse errorFor(HttpRequest head) {
        if (head.decoderResult().isFailure()) {
            return PlainTextResponse.badRequest("malformed request");
        }
        if (!isAscii(head.uri())) {
            return PlainTextResponse.badRequest(
                    "the request target contains bytes outside ASCII, which must be percent-encoded");
        }
        if (hasUnsupportedCoding(head)) {
            return PlainTextResponse.badRequest("unsupported transfer coding");
        }
        if (hasUnsupportedExpectation(head)) {
            return PlainTextResponse.of(HttpResponseStatus.EXPECTATION_FAILED, "unsupported expectation");
        }
        if (HttpUtil.getContentLength(head, 0L) > HttpLimits.MAX_BODY_BYTES) {
            return bodyTooLong();
        }
        return null;
    }

    private static FullHttpResponse bodyTooLong() {
        return PlainTextResponse.of(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is longer than " + HttpLimits.MAX_BODY_BYTES / 1024 + " KiB");
    }

    /**
     * Returns whether a request target consists of ASCII characters, as RFC 3986, section 2, requires. Netty's decoder
     * reads a target as ISO-8859-1 and its encoder writes it as UTF-8, so any other target would reach the backend as
     * another one.
     */
    private static boolean isAscii(String target) {
        for (int i = 0; i < target.length(); i++) {
            if (target.charAt(i) > LAST_ASCII_CHARACTER) {
                return false;
            }
        }
        return true;
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
}
