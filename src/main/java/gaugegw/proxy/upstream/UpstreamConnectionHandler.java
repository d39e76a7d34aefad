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
 * The last handler in the pipeline of a connection to a backend. Determines the outcome of the attempt that the
 * connection carries and returns the connection to its pool. A response is processed only after all received bytes have
 * been read, because bytes after the response show that the connection must not be reused. Used on the event loop only.
 */
final class UpstreamConnectionHandler extends SimpleChannelInboundHandler<FullHttpResponse>
        implements StallDetector.Connection {
    /** Maximum size of a response in bytes, with its headers, its chunk framing and the interim responses before it. */
    private static final long MAX_RESPONSE_BYTES = 2 * HttpLimits.MAX_BODY_BYTES;
    /**
     * Minimum time between a response and the reuse of its connection, in microseconds. If a faulty backend writes a
     * second response directly after the first, it has been received by then.
     */
    private static final long REUSE_DELAY_US = 10_000;

    private final UpstreamContext context;
    private final UpstreamEndpoint endpoint;
    private final Channel channel;
    private final StrictResponseDecoder decoder;
    private final StallDetector stallDetector;
    /** The attempt that is waiting for a response on this connection; null while there is none. */
    private UpstreamAttempt attempt;
    /** The attempt's response, from when it is decoded to the end of the read; null otherwise. */
    private FullHttpResponse response;
    /** Whether a response was received that no attempt was waiting for. */
    private boolean receivedUnexpectedResponse;
    /** When the connection became idle, on the proxy's clock in microseconds; 0 before its first attempt has ended. */
    private long idleSinceUs;
    /** How long the connection was idle before the current attempt, in microseconds; 0 if it was new. */
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

    /** Sets the attempt whose request is about to be written on this connection. */
    void assignAttempt(UpstreamAttempt next) {
        attempt = next;
        idleBeforeAttemptUs = idleSinceUs == 0 ? 0 : context.clock().nowUs() - idleSinceUs;
        decoder.resetReceivedBytes();
    }

    /** Records that the connection is idle from now on. */
    void markIdle() {
        idleSinceUs = context.clock().nowUs();
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Returns whether the last response is long enough ago for the connection to be reused. */
    boolean hasReuseDelayPassed(long nowUs) {
        return nowUs - idleSinceUs >= REUSE_DELAY_US;
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

    /**
     * Closes the connection if bytes have been received while no attempt is waiting: they would be taken for the
     * response to the next attempt.
     */
    private void closeIfUnexpectedBytes(ChannelHandlerContext ctx) {
        if (decoder.receivedBytes() > 0) {
            ctx.close();
        }
    }

    /** Ends the attempt with the outcome that its response stands for, and pools or closes the connection. */
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
        // Before calling the listener: if it starts a retry, the limit may not allow another connection for that.
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
    public boolean isAwaitingResponse() {
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

    /**
     * Closes the connection and ends the attempt with an error, as its response is invalid or incomplete. The backend
     * has begun to respond, so it may have executed the request.
     */
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

    /** Ends the attempt because its connection is closed or broken and can't receive a response any more. */
    private void failBrokenConnection() {
        if (attempt == null) {
            return;
        }
        UpstreamAttempt failed = attempt;
        attempt = null;
        // If the attempt has already ended, the proxy closed the connection, and that is no reset by the backend.
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
        // Fail the attempt now, not when the channel becomes inactive: when the connection closes, the decoder takes a
        // response without a length for complete, and the client would get a truncated response after a reset.
        failBrokenConnection();
    }
}
