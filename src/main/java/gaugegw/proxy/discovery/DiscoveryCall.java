package gaugegw.proxy.discovery;

import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Transport;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * One HTTP call to discovery, on a connection of its own: a few in a minute are not worth keeping any. It ends once, on
 * the event loop: with a list, with a failure, or silently where it is cancelled.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final String PATH = "/v1/endpoints";
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    /** Hears how a call has ended. */
    interface Listener {
        void answered(DiscoveryCall call, EndpointList list);

        void failed(DiscoveryCall call, String reason);
    }

    /**
     * What a call asks for.
     *
     * @param from the version that the proxy has; {@link EndpointList#NO_VERSION} asks for the whole list, at once
     * @param holdMs how long discovery may wait for something newer, in milliseconds
     * @param timeoutMs time beyond that within which the answer has to be there, in milliseconds; also the time within
     *     which the connection has to come up, and the rest of an answer that has begun
     */
    record Query(long from, long holdMs, long timeoutMs) {
        boolean asksForWholeList() {
            return from < 0;
        }

        /** Returns whether a list can be taken in: changes have to follow on the version that was asked from. */
        boolean isAnsweredBy(EndpointList list) {
            return list.full() || (!asksForWholeList() && list.version() >= from);
        }

        private String uri() {
            return asksForWholeList() ? PATH : PATH + "?from=" + from + "&hold_ms=" + holdMs;
        }
    }

    private final Transport transport;
    private final RateLimitedLog log;
    private final InetSocketAddress address;
    private final Query query;
    private final Listener listener;
    private ScheduledFuture<?> timer;
    private Channel channel;
    private boolean answerStarted;
    private boolean ended;

    DiscoveryCall(Transport transport, RateLimitedLog log, InetSocketAddress address, Query query, Listener listener) {
        this.transport = transport;
        this.log = log;
        this.address = address;
        this.query = query;
        this.listener = listener;
    }

    Query query() {
        return query;
    }

    void start() {
        // Guards against a discovery that is cut off and says nothing: TCP alone would never tell.
        timeOutIn(query.holdMs() + query.timeoutMs());
        ChannelFuture connect = transport
                .client()
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(query.timeoutMs()))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new AnswerStart(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_ANSWER_BYTES),
                                        DiscoveryCall.this);
                    }
                })
                .connect(transport.address(address));
        channel = connect.channel();
        connect.addListener(f -> {
            if (!f.isSuccess()) {
                // Where no channel could be made, as descriptors have run out, this is another thread.
                transport.loop().execute(() -> fail("no connection"));
            }
        });
    }

    /** Ends the call without a word to its listener. */
    void cancel() {
        ended = true;
        timer.cancel(false);
        // One that could not be made has no event loop to be closed on.
        if (channel.isOpen()) {
            channel.close();
        }
    }

    private void timeOutIn(long delayMs) {
        timer = transport.loop().schedule(() -> fail("no answer in time"), delayMs, TimeUnit.MILLISECONDS);
    }

    private void limitTimeLeft() {
        if (timer.getDelay(TimeUnit.MILLISECONDS) > query.timeoutMs()) {
            timer.cancel(false);
            timeOutIn(query.timeoutMs());
        }
    }

    /** Sees the first bytes of an answer: discovery no longer waits then, and the rest has to follow in time. */
    private final class AnswerStart extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (!answerStarted && !ended) {
                answerStarted = true;
                limitTimeLeft();
            }
            ctx.fireChannelRead(bytes);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, query.uri());
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        HttpUtil.setKeepAlive(request, false);
        ctx.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (!response.status().equals(HttpResponseStatus.OK)
                || response.decoderResult().isFailure()) {
            fail("answer " + response.status());
            return;
        }
        try (InputStream body = new ByteBufInputStream(response.content())) {
            succeed(EndpointList.parse(body, log));
        } catch (EndpointList.MalformedListException | IOException e) {
            fail(e.getMessage());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("the connection broke");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(cause.toString());
    }

    private void succeed(EndpointList list) {
        if (!ended) {
            cancel();
            listener.answered(this, list);
        }
    }

    private void fail(String reason) {
        if (!ended) {
            cancel();
            listener.failed(this, reason);
        }
    }
}
