package gaugegw.proxy.client;

import gaugegw.proxy.http.StrictRequestDecoder;
import gaugegw.proxy.logging.TrafficEvent;
import gaugegw.proxy.memory.MemoryUse;
import gaugegw.proxy.transport.PendingWrites;
import gaugegw.proxy.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

/**
 * A client's connection: reads its requests, handles them one at a time in the order in which they arrive, and enforces
 * the time limits. Its {@link ClosingSequence} closes it after the last response; an idle or lingering connection that
 * exceeds a limit is closed directly. This is the first handler in the pipeline of its channel and adds the others. Used
 * on the event loop only.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /**
     * Minimum time between two reads of the channel, in microseconds: {@link #detectDisconnect} does not read a channel
     * that was read more recently. No attempt may begin 100 ms or more after the client's close was received; this
     * value is well below that.
     */
    private static final long MIN_READ_INTERVAL_US = 20_000;

    private final ClientContext context;
    private final Channel channel;
    private final RequestAggregator aggregator;
    private final PipelinedRequests pipelinedRequests = new PipelinedRequests();
    private final RequestArrival arrival;
    private final ClosingSequence closing;
    private final ClientConnectionMemory memory;
    private final RequestDecodeWork decodeWork;
    /** The exchange whose response is written next; null if no request is being handled. */
    private ClientExchange exchange;
    /** When the channel was last read, on the proxy's clock. */
    private long lastReadAtUs;
    /** When the client connected or, later, when the last exchange ended, on the proxy's clock. */
    private long idleSinceUs;

    private boolean hasResponded;
    /** The last error on the connection; null if there was none. */
    private Throwable failure;

    ClientConnection(ClientContext context, Channel channel) {
        this.context = context;
        this.channel = channel;
        this.aggregator = new RequestAggregator(this, channel.pipeline());
        this.arrival = new RequestArrival(
                context.delayEstimator(), context.clock().nowUs(), Transport.connectedForUs(channel));
        this.closing = new ClosingSequence(channel, context.clock(), context.limiter());
        this.memory = new ClientConnectionMemory(context, this, channel, aggregator, pipelinedRequests);
        this.decodeWork = new RequestDecodeWork(context, channel, aggregator, arrival, this::rejectUnread);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        idleSinceUs = context.clock().nowUs();
        context.connections().add(this);
        channel.pipeline().addLast(new StrictRequestDecoder());
        channel.pipeline().addLast(new HttpResponseEncoder(), aggregator, new ClientExceptionHandler(context.log()));
    }

    // Reading

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        int readBytes = ((ByteBuf) message).readableBytes();
        if (pipelinedRequests.hasOverflow() || !closing.isOpen()) {
            countUnservedBytes(readBytes);
        }
        if (!closing.isOpen() || closing.hasClientOutputEnded()) {
            ReferenceCountUtil.release(message);
            return;
        }
        arrival.bytesRead();
        super.channelRead(ctx, message);
        memory.update();
        decodeWork.readDecoded(readBytes);
    }

    private void countUnservedBytes(int bytes) {
        if (!closing.addUnservedBytes(bytes)) {
            return;
        }
        if (closing.isLingering()) {
            channel.close();
        } else if (!closing.hasClientOutputEnded()) {
            // A close by the client can be read only after all these bytes. A client that sends this many does not
            // wait for its response, so it is handled as if it had ended its output.
            clientOutputEnded();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        lastReadAtUs = context.clock().nowUs();
        super.channelReadComplete(ctx);
    }

    /**
     * Detects a client's close that has been received but not read yet, because the event loop was busy: reads the
     * channel, unless it was read recently. The size of one read is limited; a close that follows more unread bytes
     * than that is not detected.
     */
    void detectDisconnect() {
        assert channel.eventLoop().inEventLoop();
        if (channel.isActive() && context.clock().nowUs() - lastReadAtUs >= MIN_READ_INTERVAL_US) {
            Transport.readNow(channel);
        }
        if (!channel.isActive()) {
            // Netty calls channelInactive in a later task, which is too late for the attempt that is about to begin.
            abandonExchange();
        }
    }

    /**
     * Takes ownership of a complete request, and begins an exchange for it or, during another exchange, queues it.
     * Drops the request if the connection is being closed.
     *
     * @param use the memory that the request holds
     */
    void requestReceived(FullHttpRequest request, MemoryUse use) {
        if (!closing.isOpen() || !channel.isActive()) {
            request.release();
            return;
        }
        var next = new ClientExchange(context, this, request, use, arrival.requestCompleted());
        if (exchange == null) {
            context.limiter().clientBusy(channel);
            exchange = next;
            // In a later task, so that a close that the client has sent after the request is read first.
            channel.eventLoop().execute(next::begin);
        } else {
            pipelinedRequests.add(next);
        }
    }

    // Exchanges

    /** Returns the exchange whose response is written next; null if no request is being handled. */
    ClientExchange exchange() {
        return exchange;
    }

    boolean isCurrent(ClientExchange other) {
        return exchange == other;
    }

    boolean isActive() {
        return channel.isActive();
    }

    /** Returns whether the current exchange is followed by neither a pipelined request nor a final error. */
    boolean isLastExchange() {
        return pipelinedRequests.isEmpty() && !closing.hasFinalError();
    }

    /**
     * Writes the response to the current exchange. Then closes the connection, begins the next exchange, sends the
     * pending rejections, or marks the connection as idle.
     */
    void finishExchange(FullHttpResponse response, boolean keepAlive) {
        assert channel.eventLoop().inEventLoop();
        ClientExchange finished = exchange;
        ChannelFuture written = channel.writeAndFlush(response);
        written.addListener(f -> recordWrite(finished, f));
        hasResponded = true;
        idleSinceUs = context.clock().nowUs();
        exchange = keepAlive ? pipelinedRequests.poll() : null;
        if (!keepAlive) {
            stopDecoding();
            closing.closeAfter(written);
        } else if (exchange != null) {
            exchange.begin();
        } else if (pipelinedRequests.hasOverflow()) {
            rejectOverflow();
        } else if (closing.hasFinalError()) {
            closing.sendFinalError();
        } else {
            // Only once the response is written: an idle connection may be evicted, which would truncate the response.
            written.addListener(f -> markIdle());
        }
        memory.update();
        written.addListener(f -> memory.update());
    }

    private void recordWrite(ClientExchange finished, Future<?> written) {
        if (!written.isSuccess()) {
            context.unanswered().responseNotWritten(channel, finished, written.cause());
        }
    }

    private void markIdle() {
        if (exchange == null && !PendingWrites.exist(channel)) {
            context.limiter().clientIdle(channel);
        }
    }

    /**
     * Rejects each request in the overflow with status 429, in order, and closes the connection after the final error.
     * If there is no final error yet, the last of these responses is the final error.
     */
    private void rejectOverflow() {
        if (!closing.hasFinalError()) {
            closing.deferFinalError(PlainTextResponse.tooManyRequests());
            pipelinedRequests.removeOneFromOverflow();
            stopDecoding();
        }
        while (pipelinedRequests.hasOverflow()) {
            channel.write(PlainTextResponse.tooManyRequests());
            pipelinedRequests.removeOneFromOverflow();
        }
        closing.sendFinalError();
    }

    /**
     * Responds to the current exchange with an error and closes the connection. The pipelined requests are rejected,
     * not dispatched.
     */
    void respondWithErrorAndClose(FullHttpResponse error) {
        exchange = null;
        pipelinedRequests.moveWaitingToOverflow();
        if (pipelinedRequests.hasOverflow()) {
            channel.write(error);
            rejectOverflow();
        } else if (closing.hasFinalError()) {
            channel.write(error);
            closing.sendFinalError();
        } else {
            rejectAndClose(error);
        }
    }

    /**
     * Rejects a request that is malformed, invalid or not complete in time, and closes the connection. The error is
     * sent after the responses to the requests before it; no further input is decoded.
     */
    void rejectAndClose(FullHttpResponse error) {
        if (!closing.isOpen()) {
            error.release();
            return;
        }
        closing.deferFinalError(error);
        stopDecoding();
        if (exchange == null) {
            closing.sendFinalError();
        }
    }

    /** Drops the incomplete request. What the client still sends is read, as a close shows only after it, and dropped. */
    private void stopDecoding() {
        aggregator.dropInput();
        decodeWork.resume();
    }

    /** Rejects a request whose deadline has been reached while the connection was waiting to be read. */
    private void rejectUnread() {
        context.counters().count(TrafficEvent.REQUEST_UNREAD_AT_DEADLINE);
        decodeWork.logIfSuspended("is rejected at its deadline");
        rejectAndClose(PlainTextResponse.rejection(context.overloadRetryAfterUs()));
    }

    // End of the client's output, and disconnect

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            clientOutputEnded();
        }
        super.userEventTriggered(ctx, event);
    }

    boolean hasClientOutputEnded() {
        return closing.hasClientOutputEnded();
    }

    /**
     * Handles the end of the client's output. The client has probably gone, so no more work is done for it. But it may
     * have shut down only its output and may still be reading, so each request that it has sent completely gets a
     * response.
     */
    private void clientOutputEnded() {
        closing.setClientOutputEnded();
        if (exchange != null) {
            exchange.clientOutputEnded();
        } else {
            closing.closeAfterPendingWrites();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        context.connections().remove(this);
        memory.close();
        decodeWork.cancelTurn();
        pipelinedRequests.releaseWaiting();
        closing.releaseFinalError();
        abandonExchange();
        super.channelInactive(ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
        failure = cause;
        super.exceptionCaught(ctx, cause);
    }

    private void abandonExchange() {
        if (exchange != null) {
            context.unanswered().connectionEnded(channel, exchange, failure);
            ClientExchange abandoned = exchange;
            exchange = null;
            abandoned.clientDisconnected();
        }
    }

    // Time limits

    /**
     * Closes the connection, after its pending writes, if there is no exchange and no incomplete request. Does nothing
     * if the connection is already being closed.
     */
    void closeIfIdle() {
        if (exchange == null && !arrival.isIncomplete() && !closing.isClosing()) {
            closing.closeAfterPendingWrites();
        }
    }

    /**
     * Closes the connection, or rejects its incomplete request, if it has exceeded a time limit. These limits do not
     * apply during an exchange, which the dispatcher ends at the deadline of the request.
     */
    void enforceTimeLimits(long nowUs) {
        if (exchange != null) {
            return;
        }
        if (closing.isLingering()) {
            enforceLingerTimeouts(closing.lingeringForUs(nowUs));
        } else if (arrival.isIncomplete() && !closing.isClosing()) {
            enforceRequestTimeout(nowUs);
        } else if (ClientTimeLimits.isIdleExceeded(nowUs - idleSinceUs, PendingWrites.exist(channel))) {
            channel.close();
        }
    }

    /** Logs an unexpected error and closes the connection; see {@link ClientExceptionHandler}. */
    void closeAfterFailure(Throwable failure) {
        channel.pipeline().fireExceptionCaught(failure);
    }

    private void enforceLingerTimeouts(long lingeringUs) {
        if (ClientTimeLimits.isLingerExceeded(lingeringUs)) {
            channel.close();
        } else if (ClientTimeLimits.isShutdownLingerExceeded(lingeringUs)) {
            context.connections().stopAwaiting(this);
        }
    }

    /**
     * Rejects a request that is not complete in time. The time counts from the first byte or the connect, so a client
     * can't extend it by sending single bytes.
     */
    private void enforceRequestTimeout(long nowUs) {
        long sinceUs = hasResponded ? arrival.firstByteAtUs() : idleSinceUs;
        if (ClientTimeLimits.isRequestExceeded(nowUs - sinceUs)) {
            decodeWork.logIfSuspended("is not complete in time");
            rejectAndClose(PlainTextResponse.of(
                    HttpResponseStatus.REQUEST_TIMEOUT, "the request was not received completely in time"));
        }
    }
}
