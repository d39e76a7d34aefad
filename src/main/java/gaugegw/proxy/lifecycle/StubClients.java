package gaugegw.proxy.lifecycle;

import gaugegw.proxy.http.HttpLimits;
import gaugegw.proxy.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The stub clients of a warm-up. Each client sends its next request when the previous one has been answered. The
 * requests are sent in rounds, and all clients pause between two rounds. The state is accessed on the event loop of the
 * transport only.
 */
final class StubClients {
    private static final int CLIENTS = 8;

    /** Number of requests in a complete warm-up: enough for the code that serves requests to be compiled. */
    private static final int TOTAL_REQUESTS = 12_000;

    /** Number of requests between two pauses. In a pause the event loop waits, as it does in production. */
    private static final int REQUESTS_PER_ROUND = 240;

    /** Length of a pause, in milliseconds. */
    private static final long PAUSE_MS = 1;

    private final Transport transport;
    private final EventLoop loop;
    private final InetSocketAddress proxyAddress;
    private final SyntheticRequests requests;
    private final CountDownLatch finishedClients = new CountDownLatch(CLIENTS);
    private final Set<ChannelHandlerContext> paused = new HashSet<>();
    /** The value of {@link #sent} at which the current round ends. */
    private int sentAtRoundEnd = REQUESTS_PER_ROUND;

    /**
     * Number of requests sent. When all have been sent, it is further incremented for each client that finishes.
     */
    private int sent;

    private int successCount;

    StubClients(Transport transport, InetSocketAddress proxyAddress, SyntheticRequests requests) {
        this.transport = transport;
        this.loop = transport.loop();
        this.proxyAddress = proxyAddress;
        this.requests = requests;
    }

    /** Connects all clients, which then begin to send requests. May be called on any thread. */
    void connect() {
        for (int i = 0; i < CLIENTS; i++) {
            connectClient();
        }
    }

    /**
     * Waits until all clients have finished: they have received the response to their last request, and all requests
     * have been sent. Returns earlier if the timeout expires.
     */
    void awaitFinished(long timeout, TimeUnit unit) throws InterruptedException {
        finishedClients.await(timeout, unit);
    }

    /** Returns the number of requests answered with status 200. To be called once the event loop has ended. */
    int successCount() {
        return successCount;
    }

    private void connectClient() {
        transport.clientBootstrap().clone().handler(initializer()).connect(transport.toSocketAddress(proxyAddress));
    }

    private ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new HttpClientCodec(),
                                new HttpObjectAggregator(HttpLimits.MAX_BODY_BYTES),
                                new StubClient());
            }
        };
    }

    private void sendNext(ChannelHandlerContext ctx) {
        assert loop.inEventLoop();
        if (sent >= sentAtRoundEnd && sent < TOTAL_REQUESTS) {
            pause(ctx);
            return;
        }
        sent++;
        if (sent > TOTAL_REQUESTS) {
            finishedClients.countDown();
            return;
        }
        DeferredWrites.writeAndFlush(ctx, requests.create(sent));
    }

    private void pause(ChannelHandlerContext ctx) {
        paused.add(ctx);
        if (paused.size() == CLIENTS) {
            loop.schedule(this::resume, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void resume() {
        sentAtRoundEnd += REQUESTS_PER_ROUND;
        List<ChannelHandlerContext> resumed = List.copyOf(paused);
        paused.clear();
        resumed.forEach(this::sendNext);
    }

    /** The handler of one client's connection. */
    private final class StubClient extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendNext(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.status().equals(HttpResponseStatus.OK)) {
                successCount++;
            }
            sendNext(ctx);
        }

        /**
         * Reconnects as long as no client has finished: on a slow machine, the proxy closes connections that are idle
         * for too long while their clients pause.
         */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            paused.remove(ctx);
            if (sent <= TOTAL_REQUESTS && !loop.isShuttingDown()) {
                connectClient();
            }
        }
    }
}
