package gaugegw.proxy.client;

import gaugegw.proxy.dispatch.ClientRequest;
import gaugegw.proxy.dispatch.ResponseSink;
import gaugegw.proxy.http.ProtocolHeaders;
import gaugegw.proxy.logging.TrafficEvent;
import gaugegw.proxy.memory.MemoryUse;
import gaugegw.proxy.upstream.UpstreamResponse;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * A complete request and its one response. The exchange owns the request, and releases it when it responds, when the
 * client has disconnected, or when the exchange is dropped before it has begun. Used on the event loop only.
 */
final class ClientExchange implements ResponseSink {
    private static final String READINESS_PATH = "/ready";

    private final ClientContext context;
    private final ClientConnection connection;
    private final FullHttpRequest request;
    private final MemoryUse use;
    private final long firstByteAtUs;
    private boolean begun;
    /** Null until the request has been dispatched. */
    private String requestId;

    /**
     * Creates an exchange.
     *
     * @param use the memory that the request holds
     * @param firstByteAtUs when the first byte of the request was received, on the proxy's clock
     */
    ClientExchange(
            ClientContext context,
            ClientConnection connection,
            FullHttpRequest request,
            MemoryUse use,
            long firstByteAtUs) {
        this.context = context;
        this.connection = connection;
        this.request = request;
        this.use = use;
        this.firstByteAtUs = firstByteAtUs;
    }

    /** Returns the memory that the request holds until the exchange releases it. */
    MemoryUse use() {
        return use;
    }

    /** Returns the client's id for the request; null until the request has been dispatched. */
    String requestId() {
        return requestId;
    }

    /** Returns when the first byte of the request was received, on the proxy's clock. */
    long firstByteAtUs() {
        return firstByteAtUs;
    }

    /** Returns whether the request may have been dispatched; if not, it can still be rejected. */
    boolean hasBegun() {
        return begun;
    }

    /**
     * Dispatches the request. Responds to it directly if it is a readiness check, if it is invalid, if the client has
     * ended its output or if there is not enough memory for another request in flight. Does nothing if the client has
     * disconnected.
     */
    void begin() {
        if (!connection.isCurrent(this) || !connection.isActive()) {
            return;
        }
        begun = true;
        if (connection.hasClientOutputEnded()) {
            sendRejection(0);
            return;
        }
        ClientRequest parsed;
        try {
            var uri = new QueryStringDecoder(request.uri());
            if (uri.rawPath().equals(READINESS_PATH)) {
                respond(readinessResponse());
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
        if (!context.memory().canAdmit()) {
            sendRejection(context.overloadRetryAfterUs());
            return;
        }
        requestId = parsed.id();
        context.dispatcher().requestArrived(parsed, this);
    }

    private FullHttpResponse readinessResponse() {
        return context.drainState().isReady()
                ? PlainTextResponse.of(HttpResponseStatus.OK, "ready")
                : PlainTextResponse.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
    }

    /**
     * Responds with an error and closes the connection. If it stayed open, a faulty client could send invalid requests
     * as fast as they are answered.
     */
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
    public void sendResponse(UpstreamResponse upstreamResponse) {
        context.counters().count(TrafficEvent.REQUEST_SERVED);
        var response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, upstreamResponse.body());
        ProtocolHeaders.copyEndToEnd(upstreamResponse.headers(), response.headers());
        HttpUtil.setContentLength(response, upstreamResponse.body().readableBytes());
        respond(response);
    }

    @Override
    public void sendRejection(long retryAfterUs) {
        context.counters().count(TrafficEvent.REQUEST_REJECTED);
        respond(PlainTextResponse.rejection(retryAfterUs));
    }

    @Override
    public void sendFailure() {
        context.counters().count(TrafficEvent.REQUEST_FAILED);
        respond(PlainTextResponse.of(HttpResponseStatus.BAD_GATEWAY, "failed; the request may have been executed"));
    }

    private void respond(FullHttpResponse response) {
        if (!connection.isCurrent(this)) {
            response.release();
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request) && !shouldCloseAfterResponse();
        HttpUtil.setKeepAlive(response, keepAlive);
        request.release();
        connection.finishExchange(response, keepAlive);
    }

    private boolean shouldCloseAfterResponse() {
        boolean closeWanted = context.drainState().isClosingAfterResponses()
                || connection.hasClientOutputEnded()
                || context.limiter().isNearClientLimit();
        return closeWanted && connection.isLastExchange();
    }

    /**
     * Handles the end of the client's output. The client may have gone or may still be reading: a dispatched request is
     * answered with a failure, and a request that has not been dispatched is rejected when its exchange begins.
     */
    void clientOutputEnded() {
        if (requestId != null) {
            context.dispatcher().clientDisconnected(requestId);
            sendFailure();
        }
    }

    /** Handles the close of the connection: no response can be sent any more. */
    void clientDisconnected() {
        request.release();
        if (requestId != null) {
            context.dispatcher().clientDisconnected(requestId);
        }
    }

    /** Releases the request of an exchange that will not begin. */
    void release() {
        request.release();
    }
}
