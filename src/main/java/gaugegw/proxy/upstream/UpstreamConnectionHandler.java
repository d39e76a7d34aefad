package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.proxy.http.HttpLimits;
import gaugegw.proxy.http.StrictResponseDecoder;
import gaugegw.proxy.memory.MemoryAccount;
import gaugegw.proxy.memory.MemoryHolder;
import gaugegw.proxy.memory.MemoryUse;
import gaugegw.proxy.memory.ShedStage;
import gaugegw.proxy.transport.PendingWrites;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
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
        implements StallDetector.Connection, MemoryHolder {
    /** Maximum size of a response in bytes, with its headers, its chunk framing and the interim responses before it. */
    private static final long MAX_RESPONSE_BYTES = 2 * HttpLimits.MAX_BODY_BYTES;

    private final UpstreamContext context;
    private final UpstreamEndpoint endpoint;
    private final Channel channel;
    private final StrictResponseDecoder decoder;
    private final ResponseAggregator aggregator;
    private final StallDetector stallDetector;
    private final MemoryAccount memory;
    private final IdlePeriod idlePeriod = new IdlePeriod();
    /** The attempt that is waiting for a response on this connection; null while there is none. */
    private UpstreamAttempt attempt;
    /** The attempt's response, from when it is decoded to the end of the read; null otherwise. */
    private FullHttpResponse response;
    /** Whether a response was received that no attempt was waiting for. */
    private boolean receivedUnexpectedResponse;
    /** How long the connection was idle before the current attempt, in microseconds; 0 if it was new. */
    private long idleBeforeAttemptUs;

    UpstreamConnectionHandler(
            UpstreamContext context,
            UpstreamEndpoint endpoint,
            Channel channel,
            StrictResponseDecoder decoder,
            ResponseAggregator aggregator) {
        this.context = context;
        this.endpoint = endpoint;
        this.channel = channel;
        this.decoder = decoder;
        this.aggregator = aggregator;
        this.stallDetector = new StallDetector(context.loop(), this);
        this.memory = context.memory().open(this);
        // Unlike channelInactive, this is called even if the connection was never established.
        channel.closeFuture().addListener(f -> memory.close());
    }

    Channel channel() {
        return channel;
    }

    void close() {
        channel.close();
    }

    /** Assigns an attempt to this connection and writes its request, which the write releases. */
    ChannelFuture writeRequest(UpstreamAttempt next, FullHttpRequest request) {
        attempt = next;
        idleBeforeAttemptUs = idlePeriod.durationUs(context.clock().nowUs());
        decoder.resetReceivedBytes();
        ChannelFuture written = channel.writeAndFlush(request);
        if (!written.isDone()) {
            updateMemory();
            written.addListener(f -> updateMemory());
        }
        return written;
    }

    /** Returns the time since the last response; the pool starts it when the connection becomes idle. */
    IdlePeriod idlePeriod() {
        return idlePeriod;
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
        updateMemory();
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

    /** Returns the connection to the pool or closes it, and ends the attempt with the outcome of its response. */
    private void completeAttempt() {
        FullHttpResponse received = response;
        UpstreamAttempt completed = attempt;
        response = null;
        attempt = null;
        stallDetector.stop();
        context.idleLimit().record(idleBeforeAttemptUs, false);
        boolean valid = ResponseClassifier.isValid(received, completed.isRequestWritten());
        AttemptOutcome outcome = ResponseClassifier.classify(received, valid);
        boolean reusable = valid && !receivedUnexpectedResponse && !decoder.hasUndecodedBytes();
        idlePeriod.responseReceived(outcome);
        decoder.resetReceivedBytes();
        // Release the connection before calling the listener: if the listener starts a retry, the limit may not allow
        // another connection for it.
        releaseOrClose(reusable && HttpUtil.isKeepAlive(received));
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
        // If the attempt has already ended, the proxy itself has closed the connection: the backend did not reset it.
        if (!failed.isEnded()) {
            context.idleLimit().record(idleBeforeAttemptUs, decoder.receivedBytes() == 0);
        }
        failed.complete(failed.isRequestWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, null);
    }

    /** Reports the memory that the request being written and the incomplete response hold. */
    private void updateMemory() {
        memory.set(aggregator.use().plus(new MemoryUse(decoder.heapBytes(), PendingWrites.bytes(channel))));
    }

    @Override
    public MemoryUse sheddable(ShedStage stage) {
        return stage == ShedStage.WAITING_FOR_BACKEND && attempt != null ? memory.use() : MemoryUse.NONE;
    }

    /** Closes the connection and ends its attempt; the backend may have executed a request that it has received. */
    @Override
    public void shed(ShedStage stage) {
        UpstreamAttempt given = attempt;
        attempt = null;
        channel.close();
        memory.set(MemoryUse.NONE);
        given.complete(given.isRequestWritten() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED, null);
    }

    @Override
    public String peer() {
        return "backend " + endpoint.address();
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
        // Fail the attempt now, not when the channel becomes inactive: when the connection closes, the decoder treats a
        // response without a length as complete, so the client would get a truncated response after a reset.
        failBrokenConnection();
    }
}
