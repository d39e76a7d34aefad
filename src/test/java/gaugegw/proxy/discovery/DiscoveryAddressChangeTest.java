package gaugegw.proxy.discovery;

import static gaugegw.proxy.discovery.DiscoveryTestSupport.watching;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import org.junit.jupiter.api.Test;

/** Reloads of the configuration that change the address of discovery, or try to. */
class DiscoveryAddressChangeTest {
    /**
     * A reload changes the address of discovery. The proxy at once fetches the complete list from the new address, and
     * keeps using its current endpoints until it has arrived.
     */
    @Test
    void fetchesTheCompleteListFromTheNewAddress() throws Exception {
        try (var backend = new ScriptedServer();
                var newDiscovery = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            watching().handle(event, actions);
                            ProxyFixture.singleAttemptTo("s0").handle(event, actions);
                        },
                        backend);
                var client = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok("x"));
            RawConnection oldCall = proxy.discovery.accept();
            oldCall.read();
            proxy.reload(ProxyFixture.configText(newDiscovery.address()));
            assertThat(oldCall.awaitClose()).isTrue();
            RawConnection call = newDiscovery.accept();
            assertThat(call.read().firstLine()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            assertThat(client.send(ProxyFixture.get("r1")).read().status()).isEqualTo(200);
            call.send(ScriptedServer.ok(
                    ProxyFixture.endpointListJson(3, true, ProxyFixture.endpointJson("s7", "127.0.0.1:1", "ready"))));
            assertThat(newDiscovery.accept().read().firstLine()).contains("?from=3&");
            assertThat(client.send(ProxyFixture.get("r2")).read().status()).isEqualTo(502);
        }
    }

    /**
     * Two reloads find an invalid configuration: the watch continues as before. Of two valid reloads in a row, the last
     * one counts. A reload with an unchanged address changes nothing.
     */
    @Test
    void keepsTheWatchAfterAnInvalidOrUnchangedReload() throws Exception {
        try (var newDiscovery = new ScriptedServer();
                var proxy = new ProxyFixture(watching())) {
            RawConnection call = proxy.discovery.accept();
            call.read();
            proxy.reload("{\"discovery\":");
            proxy.reload(ProxyFixture.configText("nowhere"));
            call.send(ScriptedServer.ok(ProxyFixture.endpointListJson(42, false)));
            RawConnection nextCall = proxy.discovery.accept();
            assertThat(nextCall.read().firstLine()).contains("?from=42&");
            proxy.reload(ProxyFixture.configText("127.0.0.1:1"));
            proxy.reload(ProxyFixture.configText(newDiscovery.address()));
            RawConnection newCall = newDiscovery.accept();
            newCall.read();
            proxy.reload(ProxyFixture.configText(newDiscovery.address()));
            newCall.send(ScriptedServer.ok(ProxyFixture.endpointListJson(7, true)));
            assertThat(newDiscovery.accept().read().firstLine()).contains("?from=7&");
        }
    }
}
