package gaugegw.proxy.discovery;

import static gaugegw.proxy.discovery.DiscoveryTestSupport.watching;
import static gaugegw.proxy.discovery.DiscoveryTestSupport.watchingWithTimer;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.lifecycle.ProxyServer;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import gaugegw.proxy.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to discovery that fail, and how soon the load balancer is notified of it. */
class DiscoveryCallFailureTest {
    /**
     * A call fails by an error, a response cut short, a closed connection, or a body that is no endpoint list. The load
     * balancer is notified; the next call is made because it demands one.
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
     * Discovery is cut off and stays silent on an open connection, which TCP does not report. The call fails by its timeout
     * and its connection is closed.
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
     * Discovery falls silent during a held call. An update that the call misses must be in force 3 s after the end of its
     * hold, so the call has to fail before that: before a timer set at its start to 3 s after the shortest hold of 1.1 s.
     */
    @Test
    void aSilentWatchFailsBeforeAMissedUpdateMustBeInForce() throws Exception {
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
     * Discovery accepts a call without a hold and stays silent, or stops half-way through its response. The call has failed
     * 1.2 s after its start.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", STALLED_RESPONSE})
    void aCallWithoutAHoldTimesOutSoon(String response) throws Exception {
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
     * Discovery begins its response to a held call and stops half-way. The call fails soon after, and not only at the end of
     * its hold of 15 s or more: the update in the response would be missed for so long.
     */
    @Test
    void aStalledResponseEndsTheHold() throws Exception {
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

    /** No descriptor is left for a call, so that no channel can be made. The call has failed like any other, and is retried. */
    @Test
    void aCallWithoutADescriptorIsRetried() throws Exception {
        Transport sockets = Transport.sockets();
        var failures = new AtomicInteger(1);
        ChannelFactory<Channel> limitedFactory = () -> {
            if (failures.getAndDecrement() > 0) {
                throw new ChannelException("no descriptor is left");
            }
            return new NioSocketChannel();
        };
        var transport = new TransportWithClient(
                sockets, new Bootstrap().group(sockets.loop()).channelFactory(limitedFactory));
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

    /** A transport whose connecting channels are others. */
    private record TransportWithClient(Transport other, Bootstrap clientBootstrap) implements Transport {
        @Override
        public EventLoop loop() {
            return other.loop();
        }

        @Override
        public ServerBootstrap serverBootstrap() {
            return other.serverBootstrap();
        }

        @Override
        public SocketAddress toSocketAddress(InetSocketAddress address) {
            return other.toSocketAddress(address);
        }

        @Override
        public boolean hasNothingToRead(Channel channel) {
            return other.hasNothingToRead(channel);
        }
    }
}
