package gaugegw.proxy.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How many connections are accepted and opened at any moment; the loop's tasks run only where a test runs them. */
class ConnectionLimiterTest {
    private static final int DESCRIPTOR_LIMIT = 128;
    /** What the runtime and discovery need, at least. */
    private static final int RESERVED_DESCRIPTORS = 24;

    /** Not the listener's, whose loop runs whenever it begins to read. */
    private final EmbeddedChannel loop = new EmbeddedChannel();

    private final EmbeddedChannel listener = new EmbeddedChannel();
    private final ConnectionLimiter limiter = new ConnectionLimiter(loop.eventLoop(), DESCRIPTOR_LIMIT);
    private final List<Channel> clients = new ArrayList<>();

    /** Connects clients for as long as the proxy accepts any, so many in each turn of the loop. */
    private void connectClients(int perTurn) {
        limiter.setListeningChannel(listener);
        while (listener.config().isAutoRead()) {
            for (int i = 0; i < perTurn; i++) {
                var client = new EmbeddedChannel();
                clients.add(client);
                limiter.clientOpened(client);
            }
        }
    }

    private int openBackends() {
        int opened = 0;
        while (opened < DESCRIPTOR_LIMIT && limiter.makeRoomForBackend()) {
            limiter.backendOpened(new EmbeddedChannel());
            opened++;
        }
        return opened;
    }

    /**
     * Clients connect in a burst, and are too new to be evicted. They must not take the descriptors that their requests
     * need for connections to backends.
     */
    @Test
    void aBurstOfClientsLeavesDescriptorsForBackends() {
        connectClients(1);
        assertThat(openBackends()).isPositive();
    }

    @Test
    void keepsWithinTheLimit() {
        connectClients(1);
        int backends = openBackends();
        assertThat(backends + clients.stream().filter(Channel::isOpen).count())
                .isBetween(DESCRIPTOR_LIMIT / 2L, (long) DESCRIPTOR_LIMIT - RESERVED_DESCRIPTORS);
    }

    /**
     * All connections to backends that the limit allows are open as clients connect in a burst. Fewer clients are
     * accepted then.
     */
    @Test
    void aBurstOfClientsBesideOpenBackendsKeepsWithinTheLimit() {
        int backends = openBackends();
        connectClients(SocketTransport.MAX_ACCEPTS_PER_ITERATION);
        assertThat(clients).isNotEmpty();
        assertThat(backends + clients.size()).isLessThanOrEqualTo(DESCRIPTOR_LIMIT - RESERVED_DESCRIPTORS);
    }

    /**
     * Clients disconnect in the same turn of the loop in which connections to backends are opened. The closed ones keep
     * their descriptors until the selector's next turn, and count until then.
     */
    @Test
    void closedConnectionsCountUntilTheirDescriptorsAreReleased() {
        connectClients(SocketTransport.MAX_ACCEPTS_PER_ITERATION);
        clients.forEach(Channel::close);
        assertThat(openBackends() + clients.size()).isLessThanOrEqualTo(DESCRIPTOR_LIMIT - RESERVED_DESCRIPTORS);
        assertThat(listener.config().isAutoRead()).isFalse();
        loop.runPendingTasks();
        loop.runScheduledPendingTasks();
        assertThat(listener.config().isAutoRead()).isTrue();
    }
}
