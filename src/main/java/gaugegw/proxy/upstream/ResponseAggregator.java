package gaugegw.proxy.upstream;

import gaugegw.proxy.http.BodyBuffer;
import gaugegw.proxy.http.HttpLimits;
import gaugegw.proxy.http.MessageSize;
import gaugegw.proxy.memory.MemoryUse;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Aggregates the parts of a backend's response into a complete response, which it passes on. A response that could not
 * be decoded is passed on with a failed {@link DecoderResult}. The memory that it holds is in proportion to the bytes
 * received; see {@link BodyBuffer}. Trailers are dropped. Owns the incomplete response; the next handler owns the
 * complete one. Used on the event loop only.
 */
final class ResponseAggregator extends SimpleChannelInboundHandler<HttpObject> {
    private final BodyBuffer body = new BodyBuffer(HttpLimits.MAX_BODY_BYTES);
    /** The head of the incomplete response; null if no head has been received, or if the body is too long. */
    private HttpResponse head;

    private long headBytes;

    /** Returns the memory that the incomplete response holds. */
    MemoryUse use() {
        return new MemoryUse(headBytes, body.capacity());
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

    /**
     * Adds a part to the response.
     *
     * @throws TooLongHttpContentException if the body is too long
     */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (part instanceof HttpResponse received) {
            headReceived(ctx, received);
        }
        // The decoder continues to pass on the parts of a body that is too long.
        if (part instanceof HttpContent content && head != null) {
            requireLength(body.append(content.content()));
            if (content instanceof LastHttpContent || content.decoderResult().isFailure()) {
                responseCompleted(ctx, content.decoderResult());
            }
        }
    }

    private void headReceived(ChannelHandlerContext ctx, HttpResponse received) {
        head = received;
        headBytes = MessageSize.heapBytes(received.headers());
        if (received.decoderResult().isFailure()) {
            responseCompleted(ctx, received.decoderResult());
        } else {
            requireLength(HttpUtil.getContentLength(received, 0L) <= HttpLimits.MAX_BODY_BYTES);
        }
    }

    private void requireLength(boolean permitted) {
        if (!permitted) {
            discard();
            throw new TooLongHttpContentException(
                    "the body is longer than " + HttpLimits.MAX_BODY_BYTES / 1024 + " KiB");
        }
    }

    private void responseCompleted(ChannelHandlerContext ctx, DecoderResult result) {
        var response = new DefaultFullHttpResponse(
                head.protocolVersion(), head.status(), body.take(), head.headers(), EmptyHttpHeaders.INSTANCE);
        response.setDecoderResult(result);
        head = null;
        headBytes = 0;
        ctx.fireChannelRead(response);
    }
}
