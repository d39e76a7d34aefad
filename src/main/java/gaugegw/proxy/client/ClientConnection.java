package gaugegw.proxy.client;

import gaugegw.proxy.http.StrictRequestDecoder;
import gaugegw.proxy.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;

/**
 * One client's connection: reads its requests, has one exchange at a time, in the order of the requests, and applies
 * the time limits. How it ends is up to its {@link ClosingSequence}. It is the first handler of its channel and adds
 * the others. Used on the event loop only.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** A connection without a request is closed after this time, in microseconds: clients may rely on 2 s. */
    private static final long IDLE_TIMEOUT_US = 2_200_000;
    /**
     * Time for a request to be received completely, in microseconds, from its first byte or, for the first one, from the
     * connect: a client that sends no valid request is owed an error or a close within 3 s.
     */
    private static final long REQUEST_TIMEOUT_US = 2_200_000;
    /** A client that reads nothing of its response for so long has gone, in microseconds. */
    private static final long WRITE_TIMEOUT_US = 10_000_000;
    /** The longest time that a connection is read from after its last response, in microseconds. */
    private static final long LINGER_TIMEOUT_US = 1_000_000;
    /**
     * A client that has read its last response has closed by then: a round trip, of 50 ms in either direction by the
     * allowance that the protocol makes on every time limit. A graceful shutdown does not wait for it any longer.
     */
    private static final long CLIENT_CLOSE_US = 100_000;
    /**
     * A channel that was read so recently is not read again before an attempt. No attempt may begin 100 ms after the
     * client's close has been received; this is well below that.
     */
    private static final long RECENT_READ_US = 20_000;

    private final ClientContext context;
    private final Channel channel;
    private final StrictRequestDecoder decoder = new StrictRequestDecoder();
    private final PipelinedRequests pipelined = new PipelinedRequests();
    private final RequestArrival arrival;
    private final ClosingSequence closing;
    /** The exchange whose response comes next; null if there is none. */
    private ClientExchange exchange;
    /** When the channel was last read, on the proxy's clock. */
    private long lastReadAtUs;
    /** The connect or the end of the last exchange, on the proxy's clock. */
    private long idleSinceUs;

    private boolean hasResponded;

    ClientConnection(ClientContext context, Channel channel) {
        this.context = context;
        this.channel = channel;
        this.arrival = new RequestArrival(context.delayEstimator());
        this.closing = new ClosingSequence(channel, context.clock(), context.limiter());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        idleSinceUs = context.clock().nowUs();
        context.connections().add(this);
        channel.pipeline()
                .addLast(
                        decoder,
                        new HttpResponseEncoder(),
                        new RequestAggregator(this),
                        new ClientRequestHandler(this, context.log()));
    }

    // Reading

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (pipelined.hasOverflow() || !closing.isOpen()) {
            countUnserved(((ByteBuf) message).readableBytes());
        }
        if (!closing.isOpen() || closing.isClientFinished()) {
            ReferenceCountUtil.release(message);
            return;
        }
        arrival.bytesRead();
        super.channelRead(ctx, message);
    }

    private void countUnserved(int bytes) {
        if (!closing.exceedsUnserved(bytes)) {
            return;
        }
        if (closing.isLingering()) {
            channel.close();
        } else if (!closing.isClientFinished()) {
            // Its close would lie unread behind what it sends, and such a client does not wait for a response.
            clientFinished();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        lastReadAtUs = context.clock().nowUs();
        super.channelReadComplete(ctx);
    }

    /**
     * Reads the channel, unless it was read recently, so that a close which lies unread while the event loop is busy is
     * noticed. One read takes a limited number of bytes; a close behind more than that stays unnoticed.
     */
    void detectDisconnect() {
        assert channel.eventLoop().inEventLoop();
        if (channel.isActive() && context.clock().nowUs() - lastReadAtUs >= RECENT_READ_US) {
            Transport.readNow(channel);
        }
        if (!channel.isActive()) {
            // channelInactive follows as a task, too late for the attempt that is about to begin.
            abandonExchange();
        }
    }

    /** Takes a complete request, and releases it once it is responded to. */
    void requestReceived(FullHttpRequest request) {
        if (!closing.isOpen() || !channel.isActive()) {
            request.release();
            return;
        }
        if (request.decoderResult().isFailure()) {
            request.release();
            endWithError(PlainTextResponse.badRequest("malformed request"));
            return;
        }
        var next = new ClientExchange(context, this, request, arrival.complete());
        if (exchange == null) {
            context.limiter().clientBusy(channel);
            exchange = next;
            // As a task: by then everything received is read, and a client that has closed is known to have.
            channel.eventLoop().execute(next::begin);
        } else {
            pipelined.add(next);
        }
    }

    // Exchanges

    boolean isCurrent(ClientExchange other) {
        return exchange == other;
    }

    boolean isActive() {
        return channel.isActive();
    }

    /** Returns whether no response follows the one to the current exchange. */
    boolean isLastExchange() {
        return pipelined.isEmpty() && !closing.hasFinalError();
    }

    /** Writes the response to the current exchange and begins the next exchange, or closes the connection. */
    void finishExchange(FullHttpResponse response, boolean keepAlive) {
        assert channel.eventLoop().inEventLoop();
        ChannelFuture written = channel.writeAndFlush(response);
        hasResponded = true;
        idleSinceUs = context.clock().nowUs();
        exchange = keepAlive ? pipelined.poll() : null;
        if (!keepAlive) {
            closing.closeAfter(written);
        } else if (exchange != null) {
            exchange.begin();
        } else if (pipelined.hasOverflow()) {
            rejectOverflow();
        } else if (closing.hasFinalError()) {
            closing.sendFinalError();
        } else {
            // Not before it is written: an idle connection may be evicted, and the response would be cut off.
            written.addListener(f -> markIdle());
        }
    }

    private void markIdle() {
        if (exchange == null && !hasUnwrittenData()) {
            context.limiter().clientIdle(channel);
        }
    }

    /** Responds to each request of the overflow, in order; the last of these responses is the connection's last. */
    private void rejectOverflow() {
        if (!closing.hasFinalError()) {
            closing.deferFinalError(PlainTextResponse.tooManyRequests());
            pipelined.removeOverflow();
        }
        while (pipelined.hasOverflow()) {
            channel.write(PlainTextResponse.tooManyRequests());
            pipelined.removeOverflow();
        }
        closing.sendFinalError();
    }

    /** Responds to the current exchange with an error and ends the connection: no request behind it is dispatched. */
    void respondWithErrorAndClose(FullHttpResponse error) {
        exchange = null;
        pipelined.overflowWaiting();
        if (pipelined.hasOverflow()) {
            channel.write(error);
            rejectOverflow();
        } else if (closing.hasFinalError()) {
            channel.write(error);
            closing.sendFinalError();
        } else {
            endWithError(error);
        }
    }

    /** Responds with an error to what is no valid request, after the requests before it, and reads no further. */
    void endWithError(FullHttpResponse error) {
        if (!closing.isOpen()) {
            error.release();
            return;
        }
        closing.deferFinalError(error);
        // What the decoder holds, and what is received from here on, is not decoded any more.
        channel.pipeline().remove(decoder);
        if (exchange == null) {
            closing.sendFinalError();
        }
    }

    // The client's end

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            clientFinished();
        }
        super.userEventTriggered(ctx, event);
    }

    boolean hasClientFinished() {
        return closing.isClientFinished();
    }

    /**
     * The client sends nothing more. It has probably gone, so that no more work is done for it; but it may only have
     * shut down its output, so that each request that it has sent completely is still responded to.
     */
    private void clientFinished() {
        closing.setClientFinished();
        if (exchange != null) {
            exchange.clientFinished();
        } else {
            closing.closeAfterPendingWrites();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        context.connections().remove(this);
        pipelined.releaseWaiting();
        closing.release();
        abandonExchange();
        super.channelInactive(ctx);
    }

    private void abandonExchange() {
        if (exchange != null) {
            ClientExchange abandoned = exchange;
            exchange = null;
            abandoned.clientDisconnected();
        }
    }

    // Time limits

    void closeIfIdle() {
        if (exchange == null && !arrival.isIncomplete() && !closing.isClosing()) {
            closing.closeAfterPendingWrites();
        }
    }

    /** Ends the connection if it has exceeded a time limit; none applies while there is an exchange. */
    void expire(long nowUs) {
        if (exchange != null) {
            return;
        }
        if (closing.isLingering()) {
            expireLingering(closing.lingeringForUs(nowUs));
        } else if (arrival.isIncomplete() && !closing.isClosing()) {
            expireIncompleteRequest(nowUs);
        } else if (nowUs - idleSinceUs > (hasUnwrittenData() ? WRITE_TIMEOUT_US : IDLE_TIMEOUT_US)) {
            channel.close();
        }
    }

    private void expireLingering(long lingeringUs) {
        if (lingeringUs > LINGER_TIMEOUT_US) {
            channel.close();
        } else if (lingeringUs > CLIENT_CLOSE_US) {
            context.connections().stopAwaiting(this);
        }
    }

    /** The limit is for the complete request: a client that sends a byte now and then does not renew it. */
    private void expireIncompleteRequest(long nowUs) {
        long sinceUs = hasResponded ? arrival.firstByteAtUs() : idleSinceUs;
        if (nowUs - sinceUs > REQUEST_TIMEOUT_US) {
            endWithError(PlainTextResponse.of(
                    HttpResponseStatus.REQUEST_TIMEOUT, "the request was not received completely in time"));
        }
    }

    private boolean hasUnwrittenData() {
        ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
        return unwritten != null && !unwritten.isEmpty();
    }
}
