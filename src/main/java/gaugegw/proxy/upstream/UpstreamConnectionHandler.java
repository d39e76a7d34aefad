package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.proxy.http.HttpLimits;
import gaugegw.proxy.http.StrictResponseDecoder;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * The last handler of a connection to a backend: gives the attempt that the connection carries its outcome, and the
 * connection back to its pool. A response is acted on only once all received bytes are read, as bytes behind it show
 * that the connection can't be used again. Used on the event loop only.
 */
final class UpstreamConnectionHandler extends SimpleChannelInboundHandler<FullHttpResponse>
        implements StallDetector.Connection {
    /** A response with its headers, its chunk framing and the interim responses before it is never longer, in bytes. */
    private static final long MAX_RESPONSE_BYTES = 2 * HttpLimits.MAX_BODY_BYTES;
    /** A second response that a faulty backend writes behind the first has been received by then, in microseconds. */
    private static final long SETTLE_US = 10_000;

    private final UpstreamContext context;
    private final UpstreamEndpoint endpoint;
    private final Channel channel;
    private final StrictResponseDecoder decoder;
    private final StallDetector stallDetector;
    /** The attempt that waits for a response here; null while the connection is idle. */
    private UpstreamAttempt attempt;
    /** The attempt's response until the end of the read; released here unless the attempt is given it. */
    private FullHttpResponse response;
    /** Whether a response was received that no attempt waits for. */
    private boolean receivedUnexpectedResponse;
    /** On the proxy's clock, in microseconds; 0 until the connection has carried an attempt. */
    private long idleSinceUs;
    /** How long the connection was idle before the current attempt, in microseconds; 0 if it is new. */
    private long idleBeforeAttemptUs;

    UpstreamConnectionHandler(
            UpstreamContext context, UpstreamEndpoint endpoint, Channel channel, StrictResponseDecoder decoder) {
        this.context = context;
        this.endpoint = endpoint;
        this.channel = channel;
        this.decoder = decoder;
        this.stallDetector = new StallDetector(context.loop(), this);
    }

    Channel channel() {
        return channel;
    }

    void close() {
        channel.close();
    }

    /** Takes the attempt whose request is written next. */
    void begin(UpstreamAttempt next) {
        attempt = next;
        idleBeforeAttemptUs = idleSinceUs == 0 ? 0 : context.clock().nowUs() - idleSinceUs;
        decoder.resetReceivedBytes();
    }

    void markIdle() {
        idleSinceUs = context.clock().nowUs();
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Returns whether anything that followed the last response would have been received by now. */
    boolean hasSettled(long nowUs) {
        return nowUs - idleSinceUs >= SETTLE_US;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse received) {
        if (attempt == null || response != null) {
            receivedUnexpectedResponse = true;
        } else if (ResponseClassifier.isFinal(received)) {
            response = received.retain();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (response != null) {
            completeAttempt();
        } else if (attempt == null) {
            closeIfUnexpectedBytes(ctx);
        } else if (decoder.receivedBytes() > MAX_RESPONSE_BYTES) {
            failInvalidResponse();
        } else if (decoder.receivedBytes() > 0) {
            stallDetector.start();
        }
        super.channelReadComplete(ctx);
    }

    /** Bytes that come while no attempt waits would be taken for the response of the next attempt. */
    private void closeIfUnexpectedBytes(ChannelHandlerContext ctx) {
        if (decoder.receivedBytes() > 0) {
            ctx.close();
        }
    }

    private void completeAttempt() {
        FullHttpResponse received = response;
        UpstreamAttempt completed = attempt;
        response = null;
        attempt = null;
        stallDetector.stop();
        context.idleLimit().record(idleBeforeAttemptUs, false);
        boolean valid = ResponseClassifier.isValid(received, completed.isRequestWritten());
        boolean reusable = valid && !receivedUnexpectedResponse && !decoder.hasUndecodedBytes();
        decoder.resetReceivedBytes();
        // Before the listener is called: a retry that it starts may find no capacity for another connection.
        releaseOrClose(reusable && HttpUtil.isKeepAlive(received));
        AttemptOutcome outcome = ResponseClassifier.classify(received, valid);
        if (outcome == AttemptOutcome.SUCCESS) {
            completed.complete(outcome, new UpstreamResponse(received.headers(), received.content()));
        } else {
            completed.complete(outcome, null);
            received.release();
        }
    }

    private void releaseOrClose(boolean reusable) {
        if (reusable && endpoint.isReady()) {
            endpoint.pool().release(channel);
        } else {
            channel.close();
        }
    }

    @Override
    public boolean awaitsResponse() {
        return attempt != null;
    }

    @Override
    public long receivedBytes() {
        return decoder.receivedBytes();
    }

    @Override
    public void responseStalled() {
        failInvalidResponse();
    }

    /** A response has begun, so that the request may have been executed; but no valid response will follow. */
    private void failInvalidResponse() {
        UpstreamAttempt failed = attempt;
        attempt = null;
        channel.close();
        if (failed != null) {
            failed.complete(AttemptOutcome.ERROR, null);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        endpoint.pool().connectionClosed(this);
        stallDetector.stop();
        if (response != null) {
            response.release();
            response = null;
        }
        failBrokenConnection();
        super.channelInactive(ctx);
    }

    /** No response is received over this connection any more. */
    private void failBrokenConnection() {
        if (attempt == null) {
            return;
        }
        UpstreamAttempt failed = attempt;
        attempt = null;
        // A connection that this side has closed says nothing about resets by the backend.
        if (!failed.isEnded()) {
            context.idleLimit().record(idleBeforeAttemptUs, decoder.receivedBytes() == 0);
        }
        failed.complete(failed.isRequestWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, null);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof IdleStateEvent && attempt == null) {
            ctx.close();
        }
        super.userEventTriggered(ctx, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongHttpContentException) {
            failInvalidResponse();
            return;
        }
        ctx.close();
        // At once: the decoder takes any close for the end of a response without a length, and the attempt that was
        // reset would be served a response that is cut short.
        failBrokenConnection();
    }
}
