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
 * One HTTP call to discovery, on a connection of its own: calls are too few for a pool. It ends once, on the event loop:
 * with a list, with a failure, or without notice where it is cancelled. The connection is closed by then.
 */
final class DiscoveryCall {
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Is notified of the end of a call, on the event loop. */
    interface Listener {
        void succeeded(DiscoveryCall call, EndpointList list);

        void failed(DiscoveryCall call, DiscoveryFailure failure);
    }

    private final Transport transport;
    private final EndpointListParser parser;
    private final InetSocketAddress address;
    private final DiscoveryQuery query;
    private final Listener listener;
    private ScheduledFuture<?> timeout;
    private Channel channel;
    private boolean responseStarted;
    private boolean ended;

    /** Creates a call that is yet to be started. */
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
        // Guards against a discovery that is cut off and stays silent: TCP would never report it.
        scheduleTimeout(query.totalTimeoutMs());
        ChannelFuture connect = connect();
        channel = connect.channel();
        connect.addListener(f -> {
            if (!f.isSuccess()) {
                // Another thread than the event loop, where no channel could be made as descriptors have run out.
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

    /** Ends the call without a notice to its listener. Does nothing more where it has ended. */
    void cancel() {
        ended = true;
        timeout.cancel(false);
        // A channel that could not be made has no event loop to be closed on.
        if (channel.isOpen()) {
            channel.close();
        }
    }

    private void scheduleTimeout(long delayMs) {
        timeout =
                transport.loop().schedule(() -> fail(new DiscoveryFailure.TimedOut()), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Discovery holds the call no longer: a response that stops half-way must not cost the rest of the hold. */
    private void responseStarted() {
        responseStarted = true;
        if (timeout.getDelay(TimeUnit.MILLISECONDS) > query.timeoutMs()) {
            timeout.cancel(false);
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

    /** Notices the first bytes of a response, ahead of the codec: the codec may take long to make a message of them. */
    private final class ResponseStartHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (!responseStarted && !ended) {
                responseStarted();
            }
            ctx.fireChannelRead(bytes);
        }
    }

    /** Sends the request once the connection is up, and ends the call by what becomes of it. */
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
