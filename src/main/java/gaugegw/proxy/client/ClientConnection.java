package gaugegw.proxy.client;

import gaugegw.proxy.http.StrictRequestDecoder;
import gaugegw.proxy.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

/** One client's connection. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** A connection on which nothing is asked for so long is closed. */
    private static final long IDLE_US = 2_200_000;
    /** A request must have come whole by then, counted from its first byte, a connection's first from the connect. */
    private static final long WHOLE_US = 2_200_000;
    /** A client that takes nothing of its answer for so long has gone. */
    private static final long UNREAD_US = 10_000_000;
    /** Of what is not served, beyond the requests read ahead or behind the last answer, so many bytes are read. */
    private static final long MAX_UNSERVED_BYTES = 256 * 1024;
    /** How long a connection stays open for reading after its last answer, at most. */
    private static final long LINGER_US = 1_000_000;
    /** A client's channel that was read so lately is not read again before an attempt; well under the 0.1 s allowed. */
    private static final long FRESH_US = 20_000;
    /**
     * A client that has taken its last answer has closed by then, which takes a round trip: the 50 ms that the protocol
     * allows on every time limit, for either direction. A drain does not wait for it any longer.
     */
    private static final long CLIENT_CLOSE_US = 100_000;
    /** Requests kept ahead on one connection; clients send one at a time, so more is not worth memory. */
    private static final int PIPELINED = 2;

    private final Frontend frontend;
    private final Queue<ClientExchange> waiting = new ArrayDeque<>();
    private final StrictRequestDecoder decoder = new StrictRequestDecoder();
    Channel channel;
    ClientExchange exchange;
    private long firstByteAt = -1;
    private long lastReadAt;
    /** When the channel was last read, in microseconds. */
    private long polledAt;
    /** Since when nothing is open here: the connect, or the last answer. */
    private long idleSince;

    private boolean used;
    boolean left;
    /** The last answer has been written, or nothing more will be: what comes is neither decoded nor taken. */
    private boolean ends;
    /** An error that waits for the answers before it, to be the last. */
    private FullHttpResponse parting;
    /** Since when the connection is only read from, or -1. */
    private long lingersSince = -1;

    private long unservedBytes;
    /** The whole requests read beyond those that wait: nothing else is kept of them. */
    private int surplus;

    ClientConnection(Frontend frontend) {
        this.frontend = frontend;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        idleSince = frontend.clock.now();
        frontend.connections.add(this);
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), new RequestAggregator(this), new Requests(this));
    }

    /** A client's patience began when it sent; the nearest to it that can be known is its first byte. */
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (surplus > 0 || parting != null || ends) {
            countUnserved(((ByteBuf) message).readableBytes());
        }
        if (parting != null || ends || left) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (firstByteAt < 0) {
            firstByteAt = Math.min(frontend.heldUpFrom, frontend.arrivedAt(frontend.clock.now()));
        }
        super.channelRead(ctx, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        polledAt = frontend.clock.now();
        super.channelReadComplete(ctx);
    }

    /** Reads the channel once, where that was not done just before; a close behind more than that stays unseen. */
    void poll() {
        if (channel.isActive() && frontend.clock.now() - polledAt >= FRESH_US) {
            Transport.readNow(channel);
        }
        if (!channel.isActive()) {
            // Its event is yet to come.
            abandon();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            left();
        }
        super.userEventTriggered(ctx, event);
    }

    /**
     * The client sends nothing more: as far as can be told it has gone, and what it has asked for is not worth any
     * work. It may have ended its sending alone, so each request that it has sent whole is answered all the same.
     */
    private void left() {
        left = true;
        if (exchange != null) {
            exchange.giveUp();
        } else {
            close();
        }
    }

    /** Closes the connection after what is still being written; what is read meanwhile is not taken any more. */
    private void close() {
        closeAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }

    /**
     * Ends the connection with a last write. Closing with bytes unread would reset the connection, and the client
     * would lose what it has not read by then: so this side ends its sending, and some of the rest is read and
     * dropped for a while.
     */
    private void closeAfter(ChannelFuture lastWrite) {
        ends = true;
        lastWrite.addListener(f -> {
            if (f.isSuccess()
                    && !left
                    && unservedBytes < MAX_UNSERVED_BYTES
                    && channel instanceof SocketChannel socket) {
                linger(socket);
            } else {
                channel.close();
            }
        });
    }

    private void linger(SocketChannel socket) {
        lingersSince = frontend.clock.now();
        frontend.limiter.clientIdle(socket);
        socket.shutdownOutput();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        frontend.connections.remove(this);
        frontend.lingering.remove(this);
        waiting.forEach(e -> e.request.release());
        waiting.clear();
        if (parting != null) {
            parting.release();
        }
        abandon();
        super.channelInactive(ctx);
    }

    /** Nobody is left to be answered. */
    private void abandon() {
        if (exchange != null) {
            ClientExchange gone = exchange;
            exchange = null;
            gone.clientGone();
        }
    }

    void request(FullHttpRequest request) {
        if (parting != null || ends || !channel.isActive()) {
            request.release();
            return;
        }
        if (request.decoderResult().isFailure()) {
            request.release();
            part(plain(HttpResponseStatus.BAD_REQUEST, "not a request that can be read"));
            return;
        }
        // Where several came in one read, all of them came when that read did.
        lastReadAt = firstByteAt < 0 ? lastReadAt : firstByteAt;
        firstByteAt = -1;
        var next = new ClientExchange(frontend, this, request, lastReadAt);
        if (exchange == null) {
            frontend.limiter.clientBusy(channel);
            exchange = next;
            // As a task: by then all that has come is read, and a client that has gone is known to have.
            channel.eventLoop().execute(next::begin);
        } else if (surplus == 0 && waiting.size() < PIPELINED) {
            waiting.add(next);
        } else {
            request.release();
            surplus++;
        }
    }

    /** The exchange is over; the next that was read ahead begins. */
    void answered(boolean keepAlive, ChannelFuture written) {
        used = true;
        idleSince = frontend.clock.now();
        exchange = keepAlive ? waiting.poll() : null;
        if (!keepAlive) {
            closeAfter(written);
        } else if (exchange != null) {
            exchange.begin();
        } else if (surplus > 0) {
            refuseSurplus();
        } else if (parting != null) {
            hangUp();
        } else {
            // Not before: an idle connection may be closed at any moment.
            written.addListener(f -> {
                if (exchange == null && !unsent()) {
                    frontend.limiter.clientIdle(channel);
                }
            });
        }
    }

    /** Answers each request of which only the number is kept, in their order; nothing more is taken behind them. */
    private void refuseSurplus() {
        if (parting == null) {
            parting = tooManyRequests();
            surplus--;
        }
        for (; surplus > 0; surplus--) {
            channel.write(tooManyRequests());
        }
        hangUp();
    }

    private static FullHttpResponse tooManyRequests() {
        return plain(HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests at once; this one has not been begun");
    }

    /** The exchange is no request that can be passed on: the answer says so, and nothing is begun behind it. */
    void rejected(FullHttpResponse answer) {
        exchange = null;
        surplus += waiting.size();
        waiting.forEach(e -> e.request.release());
        waiting.clear();
        if (surplus > 0) {
            channel.write(answer);
            refuseSurplus();
        } else if (parting != null) {
            channel.write(answer);
            hangUp();
        } else {
            part(answer);
        }
    }

    /** Returns whether nothing more is to be answered after the exchange that is under way. */
    boolean last() {
        return waiting.isEmpty() && surplus == 0 && parting == null;
    }

    void closeIfIdle() {
        if (exchange == null && firstByteAt < 0 && !ends) {
            close();
        }
    }

    /** Whatever a client does or leaves undone, its connection is not kept for longer than it is of use. */
    void expire(long now) {
        if (exchange != null) {
            return;
        }
        if (lingersSince >= 0) {
            expireLingering(now - lingersSince);
        } else if (firstByteAt >= 0 && !ends) {
            // A byte now and then renews nothing: the time is for the whole request.
            if (now - (used ? firstByteAt : idleSince) > WHOLE_US) {
                part(plain(HttpResponseStatus.REQUEST_TIMEOUT, "the request has not come in time"));
            }
        } else if (now - idleSince > (unsent() ? UNREAD_US : IDLE_US)) {
            channel.close();
        }
    }

    private void expireLingering(long lingeredUs) {
        if (lingeredUs > LINGER_US) {
            channel.close();
        } else if (lingeredUs > CLIENT_CLOSE_US && frontend.connections.remove(this)) {
            frontend.lingering.add(this);
        }
    }

    private boolean unsent() {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return out != null && !out.isEmpty();
    }

    /** Answers what can't be read as a request, after those that came before it; nothing is read beyond it. */
    void part(FullHttpResponse answer) {
        if (parting != null || ends) {
            answer.release();
            return;
        }
        parting = answer;
        // What it holds, and what comes, is not decoded any more.
        channel.pipeline().remove(decoder);
        if (exchange == null) {
            hangUp();
        }
    }

    /** Sends the error that was kept for the end. */
    private void hangUp() {
        FullHttpResponse last = parting;
        parting = null;
        HttpUtil.setKeepAlive(last, false);
        closeAfter(channel.writeAndFlush(last));
    }

    private void countUnserved(int bytes) {
        unservedBytes += bytes;
        if (unservedBytes < MAX_UNSERVED_BYTES) {
            return;
        }
        if (lingersSince >= 0) {
            channel.close();
        } else if (!left) {
            // Unread, what it sends would hide its close; and it does not wait for an answer.
            left();
        }
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final ClientConnection connection;

        Requests(ClientConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            connection.request(request.retain());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A client that goes away, or stops half-way, is nothing to tell the operators.
            if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
                frontend.log.failure("a client's connection failed", cause);
            }
            ctx.close();
        }
    }

    static FullHttpResponse plain(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(answer, body.readableBytes());
        return answer;
    }
}
