package gaugegw.proxy.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits on accepted and opened connections. Tasks of the event loop run only when a test runs them. */
class ConnectionLimiterTest {
    private static final int DESCRIPTOR_LIMIT = 128;
    /** The minimum number of descriptors that must be left for the runtime and for calls to discovery. */
    private static final int RESERVED_DESCRIPTORS = 24;

    /**
     * Provides the limiter's event loop. It is not the loop of {@link #listener}, because that one runs its tasks as
     * soon as the listener begins to read.
     */
    private final EmbeddedChannel loop = new EmbeddedChannel();

    private final EmbeddedChannel listener = new EmbeddedChannel();
    private final ConnectionLimiter limiter = new ConnectionLimiter(loop.eventLoop(), DESCRIPTOR_LIMIT);
    private final List<Channel> clients = new ArrayList<>();

    /** Connects clients until accepting is paused, {@code perIteration} in each iteration of the event loop. */
    private void connectClients(int perIteration) {
        limiter.setListeningChannel(listener);
        while (listener.config().isAutoRead()) {
            for (int i = 0; i < perIteration; i++) {
                var client = new EmbeddedChannel();
                clients.add(client);
                limiter.clientOpened(client);
            }
        }
    }

    /** Opens as many connections to backends as the limiter allows; returns their number. */
    private int openBackendConnections() {
        int opened = 0;
        while (opened < DESCRIPTOR_LIMIT && limiter.makeRoomForBackend()) {
            limiter.backendOpened(new EmbeddedChannel());
            opened++;
        }
        return opened;
    }

    /**
     * Clients connect in a burst and are too new to be evicted. If they used up all descriptors, there would be none
     * left for the connections to backends that their requests need.
     */
    @Test
    void burstOfClientsLeavesDescriptorsForBackends() {
        connectClients(1);
        assertThat(openBackendConnections()).isPositive();
    }

    @Test
    void connectionsStayWithinDescriptorLimit() {
        connectClients(1);
        int backends = openBackendConnections();
        assertThat(backends + clients.stream().filter(Channel::isOpen).count())
                .isBetween(DESCRIPTOR_LIMIT / 2L, (long) DESCRIPTOR_LIMIT - RESERVED_DESCRIPTORS);
    }

    /**
     * Clients connect in a burst while all connections to backends that the limit allows are open. The proxy must
     * accept fewer clients then, or it would exceed the limit.
     */
    @Test
    void burstOfClientsBesidesOpenBackendConnectionsStaysWithinDescriptorLimit() {
        int backends = openBackendConnections();
        connectClients(SocketTransport.MAX_ACCEPTS_PER_ITERATION);
        assertThat(clients).isNotEmpty();
        assertThat(backends + clients.size()).isLessThanOrEqualTo(DESCRIPTOR_LIMIT - RESERVED_DESCRIPTORS);
    }

    /** Guards against idle clients that are evicted, or told to close, for clients that have not sent a request. */
    @Test
    void clientsWithoutARequestTakeNoPlaceOfAnIdleClient() {
        var idle = new EmbeddedChannel();
        limiter.clientOpened(idle);
        limiter.clientIdle(idle);
        connectClients(SocketTransport.MAX_ACCEPTS_PER_ITERATION);
        loop.runPendingTasks();
        assertThat(idle.isOpen()).isTrue();
        assertThat(limiter.isNearClientLimit()).isFalse();
    }

    /** Guards against clients that are told to reconnect because of connections that have their last response. */
    @Test
    void lingeringClientsDoNotCountTowardsTheLimit() {
        connectClients(SocketTransport.MAX_ACCEPTS_PER_ITERATION);
        clients.forEach(limiter::clientLingering);
        assertThat(limiter.isNearClientLimit()).isFalse();
    }

    /** The limit holds for clients that send requests: idle ones are evicted where there are no others. */
    @Test
    void idleClientsAreEvictedIfAllClientsHaveSentRequests() {
        connectClients(SocketTransport.MAX_ACCEPTS_PER_ITERATION);
        clients.forEach(limiter::clientIdle);
        assertThat(limiter.isNearClientLimit()).isTrue();
        loop.runPendingTasks();
        assertThat(clients.get(0).isOpen()).isFalse();
    }

    /**
     * Clients disconnect in the same iteration of the event loop in which connections to backends are opened. The
     * descriptors of the closed connections are not released until the selector runs next, so they must count until
     * then.
     */
    @Test
    void closedConnectionsCountUntilTheirDescriptorsAreReleased() {
        connectClients(SocketTransport.MAX_ACCEPTS_PER_ITERATION);
        clients.forEach(Channel::close);
        assertThat(openBackendConnections() + clients.size())
                .isLessThanOrEqualTo(DESCRIPTOR_LIMIT - RESERVED_DESCRIPTORS);
        assertThat(listener.config().isAutoRead()).isFalse();
        loop.runPendingTasks();
        loop.runScheduledPendingTasks();
        assertThat(listener.config().isAutoRead()).isTrue();
    }
}
