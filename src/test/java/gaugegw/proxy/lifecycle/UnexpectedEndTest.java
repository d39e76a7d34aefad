package gaugegw.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.transport.Transport;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The end of the event loop, without which no request can be served. */
class UnexpectedEndTest {
    private final CountDownLatch reported = new CountDownLatch(1);
    private final Transport transport = Transport.sockets();

    private ProxyServer server() throws Exception {
        var server =
                new ProxyServer(ProxyConfig.parse(ProxyFixture.configTree()), (now, event, actions) -> {}, transport);
        server.onUnexpectedEnd(reported::countDown);
        return server;
    }

    /** Guards against a process that stays and accepts connections, but never responds. */
    @Test
    void reportsThatTheEventLoopHasEnded() throws Exception {
        server();
        transport
                .loop()
                .parent()
                .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
        assertThat(reported.await(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void doesNotReportAStop() throws Exception {
        var notified = new CountDownLatch(1);
        ProxyServer server = server();
        // This listener is notified after that of the proxy.
        transport.loop().terminationFuture().addListener(f -> notified.countDown());
        server.stop();
        assertThat(notified.await(10, TimeUnit.SECONDS)).isTrue();
        assertThat(reported.getCount()).isEqualTo(1);
    }
}
