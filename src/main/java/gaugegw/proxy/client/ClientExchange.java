package gaugegw.proxy.client;

import gaugegw.proxy.dispatch.ClientRequest;
import gaugegw.proxy.dispatch.ResponseSink;
import gaugegw.proxy.http.ProtocolHeaders;
import gaugegw.proxy.upstream.UpstreamResponse;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Locale;

/**
 * A complete request and its one response. It owns the request, and releases it when it responds or when the client has
 * closed its connection. Used on the event loop only.
 */
final class ClientExchange implements ResponseSink {
    private static final String READINESS_PATH = "/ready";

    private final ClientContext context;
    private final ClientConnection connection;
    private final FullHttpRequest request;
    private final long firstByteAtUs;
    /** Null until the request has been dispatched. */
    private String requestId;

    /**
     * Creates an exchange.
     *
     * @param firstByteAtUs when the first byte of the request was received, on the proxy's clock
     */
    ClientExchange(ClientContext context, ClientConnection connection, FullHttpRequest request, long firstByteAtUs) {
        this.context = context;
        this.connection = connection;
        this.request = request;
        this.firstByteAtUs = firstByteAtUs;
    }

    /** Dispatches the request, or responds at once; does nothing if the client has closed its connection meanwhile. */
    void begin() {
        if (!connection.isCurrent(this) || !connection.isActive()) {
            return;
        }
        if (connection.hasClientFinished()) {
            sendRejection(0);
            return;
        }
        ClientRequest parsed;
        try {
            var uri = new QueryStringDecoder(request.uri());
            if (uri.rawPath().equals(READINESS_PATH)) {
                respond(readiness());
                return;
            }
            parsed = context.requestParser().parse(request, uri, firstByteAtUs);
        } catch (InvalidRequestException e) {
            respondWithErrorAndClose(PlainTextResponse.of(e.status(), e.getMessage()));
            return;
        } catch (IllegalArgumentException e) {
            respondWithErrorAndClose(PlainTextResponse.badRequest("malformed request target"));
            return;
        }
        requestId = parsed.id();
        context.dispatcher().requestArrived(parsed, this);
    }

    private FullHttpResponse readiness() {
        return context.drainState().isReady()
                ? PlainTextResponse.of(HttpResponseStatus.OK, "ready")
                : PlainTextResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
    }

    /** On a connection that is kept, a faulty client would send invalid requests as fast as they are responded to. */
    private void respondWithErrorAndClose(FullHttpResponse response) {
        request.release();
        connection.respondWithErrorAndClose(response);
    }

    @Override
    public void detectDisconnect() {
        if (connection.isCurrent(this)) {
            connection.detectDisconnect();
        }
    }

    @Override
    public void sendResponse(UpstreamResponse served) {
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, served.body());
        ProtocolHeaders.copyEndToEnd(served.headers(), response.headers());
        HttpUtil.setContentLength(response, served.body().readableBytes());
        respond(response);
    }

    @Override
    public void sendRejection(long retryAfterUs) {
        FullHttpResponse response =
                PlainTextResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "not now; trying again is harmless");
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
        }
        respond(response);
    }

    @Override
    public void sendFailure() {
        respond(PlainTextResponse.of(HttpResponseStatus.BAD_GATEWAY, "failed; the request may have been executed"));
    }

    private void respond(FullHttpResponse response) {
        if (!connection.isCurrent(this)) {
            response.release();
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request) && !closesAfterResponse();
        HttpUtil.setKeepAlive(response, keepAlive);
        request.release();
        connection.finishExchange(response, keepAlive);
    }

    private boolean closesAfterResponse() {
        boolean wantsClose = context.drainState().isClosingAfterResponses()
                || connection.hasClientFinished()
                || context.limiter().isNearClientLimit();
        return wantsClose && connection.isLastExchange();
    }

    /**
     * The client has ended its sending and may have gone, but may still read: a dispatched request is failed. One that
     * has not been dispatched is rejected when its turn comes.
     */
    void clientFinished() {
        if (requestId != null) {
            context.dispatcher().clientDisconnected(requestId);
            sendFailure();
        }
    }

    /** The connection is closed: there is nobody to respond to. */
    void clientDisconnected() {
        request.release();
        if (requestId != null) {
            context.dispatcher().clientDisconnected(requestId);
        }
    }

    /** Releases the request of an exchange that has not begun. */
    void release() {
        request.release();
    }
}
