package gaugegw.proxy.lifecycle;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gaugegw.balancer.EarliestDeadlineLoadBalancer;
import gaugegw.proxy.config.JsonTrees;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.config.SocketAddresses;
import gaugegw.proxy.transport.Transport;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Warms up the Java runtime before the proxy serves clients: classes are loaded and hot methods are compiled. On a
 * fraction of a CPU core, this would otherwise delay the requests of the first seconds. The warm-up uses no sockets: it
 * runs another proxy with stub clients, stub backends and a stub discovery, connected by Netty's in-process channels,
 * on a separate event loop that is shut down when the warm-up ends.
 */
final class Warmup {
    private static final int BACKENDS = 10;
    /** The ports only distinguish in-process addresses; no TCP port is used. */
    private static final int PROXY_PORT = 0;

    private static final int FIRST_BACKEND_PORT = 1;
    private static final int DISCOVERY_PORT = FIRST_BACKEND_PORT + BACKENDS;

    private final Transport transport = Transport.inProcess();
    private final ProxyConfig config;
    private final StubServer stubServer;

    private Warmup(ProxyConfig template) {
        ObjectNode endpoints = endpointList();
        stubServer = new StubServer(endpoints.toString());
        config = new ProxyConfig(
                "warm-up",
                address(PROXY_PORT),
                address(DISCOVERY_PORT),
                template.descriptorLimit(),
                template.memoryLimitBytes(),
                endpoints,
                template.settings(),
                template.backendIdleTimeoutUs(),
                template.connectTimeoutUs());
    }

    /**
     * Serves synthetic requests until all clients have finished or the time is up. Blocks the calling thread.
     *
     * @param config the configuration of the real proxy; its settings determine the request classes and tenants
     * @param timeoutMs the time after which the warm-up ends, in milliseconds
     * @return the number of requests answered with status 200
     */
    static int run(ProxyConfig config, long timeoutMs) {
        return new Warmup(config).run(timeoutMs);
    }

    private int run(long timeoutMs) {
        var server = new ProxyServer(config, new EarliestDeadlineLoadBalancer(config.settings()), transport);
        var clients = new StubClients(transport, address(PROXY_PORT), new SyntheticRequests(config.settings()));
        try {
            startStubServers();
            server.listen().syncUninterruptibly();
            clients.connect();
            clients.awaitFinished(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            server.stop();
        }
        // The event loop that updates this count has ended.
        return clients.successCount();
    }

    private void startStubServers() {
        for (int port = FIRST_BACKEND_PORT; port <= DISCOVERY_PORT; port++) {
            transport
                    .serverBootstrap()
                    .clone()
                    .childHandler(stubServer.initializer())
                    .bind(transport.toSocketAddress(address(port)))
                    .syncUninterruptibly();
        }
    }

    /** Returns the list of the stub backends, in the format of discovery. */
    private static ObjectNode endpointList() {
        ObjectNode list = JsonTrees.object().put("version", 1).put("full", true);
        ArrayNode servers = list.putArray("servers");
        for (int i = 0; i < BACKENDS; i++) {
            servers.addObject()
                    .put("id", "warm-up-" + i)
                    .put("addr", hostAndPort(FIRST_BACKEND_PORT + i))
                    .put("zone", "a")
                    .put("kind", "k")
                    .put("cell", 0)
                    .put("state", "ready")
                    .put("weight", 1.0)
                    .put("started_ms", 0);
        }
        return list;
    }

    private static String hostAndPort(int port) {
        return "127.0.0.1:" + port;
    }

    private static InetSocketAddress address(int port) {
        return SocketAddresses.parse(hostAndPort(port)).orElseThrow();
    }
}
