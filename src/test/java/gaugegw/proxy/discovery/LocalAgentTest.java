package gaugegw.proxy.discovery;

import static gaugegw.proxy.discovery.DiscoveryTestSupport.discoveryAt;
import static gaugegw.proxy.discovery.DiscoveryTestSupport.watchingWithTimer;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The watch if discovery is an agent on the proxy's own machine. */
class LocalAgentTest {
    /**
     * A local agent does not respond to five calls. Its changes must be applied within 1 s after it can be reached: two
     * failing calls and the delay after each take no longer than that, or 0.15 s more with the first call of the
     * process.
     */
    @Test
    void retriesALocalAgentInTimeAfterFailedCalls() throws Exception {
        try (var proxy =
                new ProxyFixture(watchingWithTimer(UpdateKind.CACHED, 3_400), c -> c.replace("on_request", "pushed"))) {
            for (int i = 0; i < 5; i++) {
                proxy.discovery.accept().read();
            }
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(ScriptedServer.ok(ProxyFixture.endpointListJson(42, false)));
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            Event nextEvent = ScriptedServer.awaitNext(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.DELTA, List.of()));
        }
    }

    /**
     * A local agent does not respond to the first call. It is called again without a hold. The hold of its watch is
     * short even in a fleet of 100 proxies, because its calls cause no load on other machines.
     */
    @Test
    void retriesASilentLocalAgentAndHoldsCallsBriefly() throws Exception {
        try (var proxy = new ProxyFixture(
                watchingWithTimer(UpdateKind.CACHED, 2_500),
                c -> c.replace("on_request", "pushed").replace("\"balancers\":2", "\"balancers\":100"))) {
            proxy.discovery.accept().read();
            RawConnection retry = proxy.discovery.accept();
            assertThat(retry.read().firstLine()).contains("from=41&hold_ms=0");
            retry.send(ScriptedServer.ok(ProxyFixture.endpointListJson(42, false)));
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            Event nextEvent = ScriptedServer.awaitNext(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.DELTA, List.of()));
            assertThat(proxy.discovery.accept().read().firstLine())
                    .matches("GET /v1/endpoints\\?from=42&hold_ms=1[1-5]\\d{2} HTTP/1.1");
        }
    }

    /**
     * A proxy restarts while its local agent has an update that must already be applied. No client may connect before
     * the response of the agent has been applied: its requests would be forwarded according to the cached list.
     */
    @Test
    void acceptsNoClientBeforeTheFirstResponseOfALocalAgent() throws Exception {
        int port;
        try (var free = new ScriptedServer()) {
            port = free.port();
        }
        try (var discovery = new ScriptedServer();
                var backend = new ScriptedServer()) {
            ScriptedServer.runInBackground(() -> {
                RawConnection call = discovery.accept();
                call.read();
                boolean accepted = false;
                for (int i = 0; i < 50 && !accepted; i++) {
                    accepted = accepts(port);
                }
                call.send(ScriptedServer.ok(ProxyFixture.endpointListJson(
                        42, false, ProxyFixture.endpointJson("s0", backend.address(), "draining"))));
            });
            try (var proxy = new ProxyFixture(
                    (event, actions) -> {},
                    c -> discoveryAt(discovery, c)
                            .replace("on_request", "pushed")
                            .replace("127.0.0.1:0", "127.0.0.1:" + port),
                    backend)) {
                assertThat(proxy.events)
                        .extracting(e -> ((EndpointUpdate) e).kind())
                        .containsExactly(UpdateKind.CACHED, UpdateKind.DELTA);
            }
        }
    }

    private static boolean accepts(int port) {
        try {
            RawConnection.connectTo(new InetSocketAddress(port)).close();
            return true;
        } catch (IOException e) {
            pause();
            return false;
        }
    }

    private static void pause() {
        try {
            Thread.sleep(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
