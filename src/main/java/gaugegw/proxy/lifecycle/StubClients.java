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
 * The stub clients of a warm-up. Each sends its next request once the last is answered, and all pause between two
 * rounds. Their state belongs to the event loop of the transport.
 */
final class StubClients {
    private static final int CLIENTS = 8;

    /** Requests of a complete warm-up; by then the serving path is compiled. */
    private static final int REQUESTS = 12_000;

    /** Requests between two pauses of all clients, so that the event loop waits now and then as it does in service. */
    private static final int REQUESTS_PER_ROUND = 240;

    private static final long PAUSE_MS = 1;

    private final Transport transport;
    private final EventLoop loop;
    private final InetSocketAddress proxyAddress;
    private final SyntheticRequests requests;
    private final CountDownLatch finishedClients = new CountDownLatch(CLIENTS);
    private final Set<ChannelHandlerContext> paused = new HashSet<>();
    /** The number of requests after which the round that goes on ends. */
    private int roundEnd = REQUESTS_PER_ROUND;

    /** Requests sent; beyond {@link #REQUESTS} it counts the clients that have found none left. */
    private int sent;

    private int served;

    StubClients(Transport transport, InetSocketAddress proxyAddress, SyntheticRequests requests) {
        this.transport = transport;
        this.loop = transport.loop();
        this.proxyAddress = proxyAddress;
        this.requests = requests;
    }

    /** Connects all clients, which begin to send. Called from another thread than the loop's. */
    void connect() {
        for (int i = 0; i < CLIENTS; i++) {
            connectOne();
        }
    }

    /** Waits until no client has a request left to send or the time is up. */
    void awaitAllSent(long timeout, TimeUnit unit) throws InterruptedException {
        finishedClients.await(timeout, unit);
    }

    /** Returns the number of requests answered with 200; of use once the event loop has ended. */
    int served() {
        return served;
    }

    private void connectOne() {
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
        if (sent >= roundEnd && sent < REQUESTS) {
            pause(ctx);
            return;
        }
        sent++;
        if (sent > REQUESTS) {
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
        roundEnd += REQUESTS_PER_ROUND;
        List<ChannelHandlerContext> resumed = List.copyOf(paused);
        paused.clear();
        resumed.forEach(this::sendNext);
    }

    /** One connection of a client. */
    private final class StubClient extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendNext(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.status().equals(HttpResponseStatus.OK)) {
                served++;
            }
            sendNext(ctx);
        }

        /** Reconnects: on a slow machine the proxy closes the connection of a client that was paused for too long. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            paused.remove(ctx);
            if (sent <= REQUESTS && !loop.isShuttingDown()) {
                connectOne();
            }
        }
    }
}
