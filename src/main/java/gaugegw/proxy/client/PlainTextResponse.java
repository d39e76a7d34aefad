package gaugegw.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Creates the responses that the proxy itself generates: a status and a line of text. */
final class PlainTextResponse {
    private PlainTextResponse() {}

    /** Creates a response, which the caller writes or releases. */
    static FullHttpResponse of(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(response, body.readableBytes());
        return response;
    }

    static FullHttpResponse badRequest(String text) {
        return of(HttpResponseStatus.BAD_REQUEST, text);
    }

    /**
     * Creates the response to a request that was not executed.
     *
     * @param retryAfterUs the earliest time for a retry, in microseconds from now; 0 if the response has no Retry-After
     */
    static FullHttpResponse rejection(long retryAfterUs) {
        FullHttpResponse response = of(HttpResponseStatus.SERVICE_UNAVAILABLE, "not now; trying again is harmless");
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
        }
        return response;
    }

    static FullHttpResponse tooManyRequests() {
        return of(HttpResponseStatus.TOO_MANY_REQUESTS, "too many pipelined requests; this one was not executed");
    }
}
