package gaugegw.proxy.discovery;

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
 * A single HTTP call to discovery on a new connection; calls are too rare for a connection pool. A call ends once, on
 * the event loop, with a list or with a failure, of which its listener is notified after the connection has been
 * closed. The listener is not notified if the call is cancelled.
 */
final class DiscoveryCall {
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Notified of the end of a call, on the event loop. */
    interface Listener {
        void succeeded(DiscoveryCall call, EndpointList list);

        void failed(DiscoveryCall call, DiscoveryFailure failure);
    }

    private final Transport transport;
    private final EndpointListParser parser;
    private final InetSocketAddress address;
    private final DiscoveryQuery query;
    private final Listener listener;
    private ScheduledFuture<?> timeoutTimer;
    /** Null until {@link #start} has begun to connect. */
    private Channel channel;

    private boolean responseStarted;
    private boolean ended;

    /** Creates a call without starting it. */
    DiscoveryCall(
            Transport transport,
            EndpointListParser parser,
            InetSocketAddress address,
            DiscoveryQuery query,
            Listener listener) {
        this.transport = transport;
        this.parser = parser;
        this.address = address;
        this.query = query;
        this.listener = listener;
    }

    DiscoveryQuery query() {
        return query;
    }

    /** Connects and sends the request. Called once, on the event loop. */
    void start() {
        assert transport.loop().inEventLoop();
        // If discovery becomes unreachable without closing the connection, TCP reports nothing: only this timeout ends
        // the call.
        scheduleTimeout(query.totalTimeoutMs());
        ChannelFuture connect = connect();
        channel = connect.channel();
        connect.addListener(f -> {
            if (!f.isSuccess()) {
                // Runs outside the event loop if no channel could be created for lack of file descriptors.
                transport.loop().execute(() -> fail(new DiscoveryFailure.ConnectFailed()));
            }
        });
    }

    private ChannelFuture connect() {
        return transport
                .clientBootstrap()
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(query.timeoutMs()))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new ResponseStartHandler(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new ExchangeHandler());
                    }
                })
                .connect(transport.toSocketAddress(address));
    }

    /** Ends the call without notifying its listener. Has no effect if the call has already ended. */
    void cancel() {
        ended = true;
        timeoutTimer.cancel(false);
        // If no channel could be created, Netty returned a placeholder, which is not open and has no event loop that
        // could close it. If the connect has thrown an exception, there is none, and the timeout ends the call.
        if (channel != null && channel.isOpen()) {
            channel.close();
        }
    }

    private void scheduleTimeout(long delayMs) {
        timeoutTimer =
                transport.loop().schedule(() -> fail(new DiscoveryFailure.TimedOut()), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Shortens the timeout when the response begins: discovery no longer holds the call, and if the response stalls,
     * the call must not wait for the end of its hold before it fails.
     */
    private void responseStarted() {
        responseStarted = true;
        if (timeoutTimer.getDelay(TimeUnit.MILLISECONDS) > query.timeoutMs()) {
            timeoutTimer.cancel(false);
            scheduleTimeout(query.timeoutMs());
        }
    }

    private void succeed(EndpointList list) {
        if (!ended) {
            cancel();
            listener.succeeded(this, list);
        }
    }

    private void fail(DiscoveryFailure failure) {
        if (!ended) {
            cancel();
            listener.failed(this, failure);
        }
    }

    /**
     * Detects the first bytes of a response. It is the first handler in the pipeline, because the HTTP handlers pass a
     * response on only when it is complete.
     */
    private final class ResponseStartHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (!responseStarted && !ended) {
                responseStarted();
            }
            ctx.fireChannelRead(bytes);
        }
    }

    /** Sends the request when the connection is established, and ends the call with the response or the failure. */
    private final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
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
                fail(new DiscoveryFailure.UnexpectedResponse(response.status()));
                return;
            }
            try (InputStream body = new ByteBufInputStream(response.content())) {
                succeed(parser.parse(body));
            } catch (MalformedListException | IOException e) {
                fail(new DiscoveryFailure.MalformedList(e.getMessage()));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail(new DiscoveryFailure.ConnectionClosed());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(new DiscoveryFailure.ChannelFailed(cause));
        }
    }
}
