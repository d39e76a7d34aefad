package gaugegw.proxy.discovery;

import static gaugegw.proxy.discovery.DiscoveryTestSupport.watching;
import static gaugegw.proxy.discovery.DiscoveryTestSupport.watchingWithTimer;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.lifecycle.ProxyServer;
import gaugegw.proxy.testing.DelegatingTransport;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import gaugegw.proxy.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to discovery that fail, and how soon the load balancer is notified of the failure. */
class DiscoveryCallFailureTest {
    /**
     * A call fails because of an error status, a truncated response, a closed connection, or a body that is not an
     * endpoint list. The load balancer is notified, and the next call is made only because the load balancer asks for
     * it.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha",
                "",
                "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnot JSON",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                "rubbish\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":\"x\",\"full\":true,\"servers\":[]}",
                "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n{\"version\":-1,\"full\":true,\"servers\":[]}"
            })
    void notifiesOfAFailedCall(String response) throws Exception {
        try (var proxy = new ProxyFixture(watching())) {
            proxy.awaitEvent(EndpointUpdate.class);
            try (RawConnection call = proxy.discovery.accept()) {
                call.read();
                call.send(response);
            }
            assertThat(proxy.awaitEvent(EndpointUpdate.class))
                    .isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
            assertThat(proxy.discovery.accept().read().firstLine()).contains("from=41&hold_ms=0");
        }
    }

    /**
     * Discovery becomes unreachable while a connection to it is open, which TCP does not report. The call fails at its
     * timeout, and its connection is closed.
     */
    @Test
    void aCallToASilentDiscoveryTimesOut() throws Exception {
        try (var proxy = new ProxyFixture(watching())) {
            proxy.awaitEvent(EndpointUpdate.class);
            RawConnection call = proxy.discovery.accept();
            call.read();
            assertThat(call.awaitClose()).isTrue();
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.POLL_FAILED);
        }
    }

    /**
     * Discovery stops responding during a held call. An update that the call misses must be applied within 3 s after
     * the end of its hold, so the call has to fail before that. The timer starts with the call and fires 3 s after the
     * end of the shortest hold, which is 1.1 s.
     */
    @Test
    void aSilentWatchFailsBeforeAMissedUpdateMustBeApplied() throws Exception {
        try (var proxy = new ProxyFixture(watchingWithTimer(UpdateKind.DELTA, 4_100))) {
            RawConnection firstCall = proxy.discovery.accept();
            firstCall.read();
            firstCall.send(ScriptedServer.ok(ProxyFixture.endpointListJson(42, false)));
            proxy.discovery.accept().read();
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.DELTA);
            Event nextEvent = ScriptedServer.awaitNext(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    private static final String STALLED_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{";

    /**
     * Discovery accepts a call without a hold and sends no response, or only the beginning of one. The call fails 1.2 s
     * after its start. The timer starts with the call and fires after 1.7 s.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", STALLED_RESPONSE})
    void aCallWithoutAHoldTimesOutEarly(String response) throws Exception {
        try (var proxy = new ProxyFixture(watchingWithTimer(UpdateKind.POLL_FAILED, 1_700))) {
            proxy.discovery.accept().close();
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.POLL_FAILED);
            RawConnection call = proxy.discovery.accept();
            call.read();
            call.send(response);
            Event nextEvent = ScriptedServer.awaitNext(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    /**
     * Discovery begins its response to a held call and then stalls. The call has to fail soon after that, and not only
     * at the end of its hold of at least 15 s, or the proxy would lack the update for that long. The timer fires 6 s
     * after the start of the call.
     */
    @Test
    void aStalledResponseTimesOutBeforeTheEndOfTheHold() throws Exception {
        try (var proxy = new ProxyFixture(
                watchingWithTimer(UpdateKind.DELTA, 6_000), c -> c.replace("\"balancers\":2", "\"balancers\":100"))) {
            RawConnection watch = proxy.answerWatchCall();
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.CACHED);
            assertThat(proxy.awaitEvent(EndpointUpdate.class).kind()).isEqualTo(UpdateKind.DELTA);
            watch.send(STALLED_RESPONSE);
            Event nextEvent = ScriptedServer.awaitNext(proxy.events);
            assertThat(nextEvent).isEqualTo(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    /**
     * No file descriptor is left for a call, so that no channel can be created. The call fails, and is retried.
     */
    @Test
    void aCallWithoutADescriptorIsRetried() throws Exception {
        Transport sockets = Transport.sockets();
        var remainingFailures = new AtomicInteger(1);
        ChannelFactory<Channel> failingFactory = () -> {
            if (remainingFailures.getAndDecrement() > 0) {
                throw new ChannelException("no descriptor is left");
            }
            return new NioSocketChannel();
        };
        var transport = new TransportWithClient(
                sockets, new Bootstrap().group(sockets.loop()).channelFactory(failingFactory));
        try (var discovery = new ScriptedServer()) {
            ProxyConfig config =
                    ProxyConfig.parse(ProxyFixture.parseJson(ProxyFixture.configText(discovery.address())));
            var server =
                    new ProxyServer(config, (now, event, actions) -> watching().handle(event, actions), transport);
            try {
                server.start();
                assertThat(discovery.accept().read().firstLine()).contains("?from=41&");
            } finally {
                server.stop();
            }
        }
    }

    /** Replaces the client bootstrap of another transport. */
    private static final class TransportWithClient extends DelegatingTransport {
        private final Bootstrap client;

        TransportWithClient(Transport delegate, Bootstrap client) {
            super(delegate);
            this.client = client;
        }

        @Override
        public Bootstrap clientBootstrap() {
            return client;
        }
    }
}
