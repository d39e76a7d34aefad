package gaugegw.proxy.lifecycle;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gaugegw.balancer.EarliestDeadlineLoadBalancer;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.Tenant;
import gaugegw.proxy.config.JsonTrees;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.http.HttpLimits;
import gaugegw.proxy.http.ProtocolHeaders;
import gaugegw.proxy.transport.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Warms up the Java runtime before the proxy serves clients: classes are loaded and hot methods compiled, which on a
 * share of a core would otherwise make the first seconds of service late. Everything stays inside the process: a second
 * proxy with stub clients, backends and discovery, connected by Netty's in-process channels.
 */
final class Warmup {
    /** Requests of a whole warm-up; by then the serving path is compiled. */
    private static final int REQUESTS = 12_000;
    /** Requests between two pauses of all clients, so that the event loop waits now and then as it does in service. */
    private static final int REQUESTS_PER_ROUND = 240;

    private static final long PAUSE_MS = 1;
    private static final int CLIENTS = 8;
    private static final int BACKENDS = 10;
    private static final byte[] BODY = "x".repeat(1_000).getBytes(StandardCharsets.US_ASCII);

    private final ProxyConfig config;
    private final Transport transport = Transport.inProcess();
    private final String list;
    private final CountDownLatch done = new CountDownLatch(CLIENTS);
    private final Set<ChannelHandlerContext> paused = new HashSet<>();
    private int roundEnd = REQUESTS_PER_ROUND;
    private int sent;
    private int served;

    private Warmup(ProxyConfig template) {
        ObjectNode known = JsonTrees.object().put("version", 1).put("full", true);
        ArrayNode servers = known.putArray("servers");
        for (int i = 0; i < BACKENDS; i++) {
            servers.addObject()
                    .put("id", "warm-up-" + i)
                    .put("addr", "127.0.0.1:" + (i + 1))
                    .put("zone", "a")
                    .put("kind", "k")
                    .put("cell", 0)
                    .put("state", "ready")
                    .put("weight", 1.0)
                    .put("started_ms", 0);
        }
        list = known.toString();
        config = new ProxyConfig(
                "warm-up",
                address(0),
                address(BACKENDS + 1),
                template.sockets(),
                known,
                template.settings(),
                template.connIdleUs(),
                template.connectTimeoutUs());
    }

    /**
     * Serves synthetic requests until all of them are sent or the time is up.
     *
     * @param config the configuration of the proxy to warm up for; classes and tenants come from its settings
     * @param timeoutMs the longest time that this may take, in milliseconds
     * @return the number of requests answered with 200
     */
    static int run(ProxyConfig config, long timeoutMs) {
        return new Warmup(config).run(timeoutMs);
    }

    private static InetSocketAddress address(int port) {
        return ProxyConfig.address("127.0.0.1:" + port);
    }

    private int run(long timeoutMs) {
        var serve = new ProxyServer(config, new EarliestDeadlineLoadBalancer(config.settings()), transport);
        try {
            for (int i = 1; i <= BACKENDS + 1; i++) {
                transport
                        .server()
                        .clone()
                        .childHandler(pipeline(new StubServer()))
                        .bind(transport.address(address(i)))
                        .syncUninterruptibly();
            }
            serve.listen().syncUninterruptibly();
            for (int i = 0; i < CLIENTS; i++) {
                connect();
            }
            done.await(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            serve.stop();
        }
        return served;
    }

    private void connect() {
        transport.client().clone().handler(pipeline(new StubClient())).connect(transport.address(address(0)));
    }

    private void resumePausedClients() {
        roundEnd += REQUESTS_PER_ROUND;
        List<ChannelHandlerContext> resumed = List.copyOf(paused);
        paused.clear();
        resumed.forEach(ctx -> ((StubClient) ctx.handler()).sendNext(ctx));
    }

    private static ChannelInitializer<Channel> pipeline(ChannelHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                handler instanceof StubClient ? new HttpClientCodec() : new HttpServerCodec(),
                                new HttpObjectAggregator(HttpLimits.MAX_BODY_BYTES),
                                handler);
            }
        };
    }

    /**
     * Writes in a task of its own. An in-process channel delivers to its peer inside the write, unlike a socket, so that
     * calls would nest without end. Nothing is added to an event loop that is shutting down.
     */
    private static void writeLater(ChannelHandlerContext ctx, Object message) {
        if (!ctx.executor().isShuttingDown()) {
            ctx.executor().execute(() -> ctx.writeAndFlush(message));
        }
    }

    /** Answers as a backend or, on its paths, as discovery. */
    @ChannelHandler.Sharable
    private final class StubServer extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean listRequest = request.uri().startsWith("/v1/");
            if (listRequest
                    && request.uri().contains("hold_ms")
                    && !request.uri().contains("hold_ms=0")) {
                return;
            }
            byte[] body = listRequest ? list.getBytes(StandardCharsets.US_ASCII) : BODY;
            var answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
            HttpUtil.setContentLength(answer, body.length);
            writeLater(ctx, answer);
        }
    }

    /** A client that sends its next request once it is answered. */
    private final class StubClient extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendNext(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (answer.status().equals(HttpResponseStatus.OK)) {
                served++;
            }
            sendNext(ctx);
        }

        /** On a slow machine the proxy closes the connection of a client that was paused for too long. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            paused.remove(ctx);
            if (sent <= REQUESTS && !transport.loop().isShuttingDown()) {
                connect();
            }
        }

        private void sendNext(ChannelHandlerContext ctx) {
            if (sent >= roundEnd && sent < REQUESTS) {
                paused.add(ctx);
                if (paused.size() == CLIENTS) {
                    transport.loop().schedule(Warmup.this::resumePausedClients, PAUSE_MS, TimeUnit.MILLISECONDS);
                }
                return;
            }
            if (++sent > REQUESTS) {
                done.countDown();
                return;
            }
            List<RequestClass> classes = config.settings().requestClasses();
            List<Tenant> tenants = config.settings().tenants();
            RequestClass type = classes.get(sent % classes.size());
            boolean safe = type.idempotency() == Idempotency.IDEMPOTENT;
            var request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api?k=" + sent,
                    safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
            request.headers()
                    .set("host", "warm-up")
                    .set(ProtocolHeaders.REQUEST_ID, Integer.toHexString(sent))
                    .set(ProtocolHeaders.REQUEST_CLASS, type.name())
                    .set(ProtocolHeaders.TIMEOUT, type.deadlineUs() / 1_000 + "m");
            if (!tenants.isEmpty()) {
                request.headers()
                        .set(
                                ProtocolHeaders.TENANT,
                                tenants.get(sent % tenants.size()).name());
            }
            if (!safe) {
                HttpUtil.setContentLength(request, BODY.length);
                if (type.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
                    request.headers().set(ProtocolHeaders.IDEMPOTENCY_KEY, Integer.toHexString(sent));
                }
            }
            writeLater(ctx, request);
        }
    }
}
