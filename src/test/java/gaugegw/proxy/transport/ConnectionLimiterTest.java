package gaugegw.proxy.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is accepted and opened at any one moment; the loop's tasks run only where a test says so. */
class ConnectionLimiterTest {
    private static final int LIMIT = 128;
    /** What the runtime and discovery need. */
    private static final int RESERVED = 24;

    /** Apart from the listener, which runs its own loop whenever it is told to read. */
    private final EmbeddedChannel loop = new EmbeddedChannel();

    private final EmbeddedChannel listener = new EmbeddedChannel();
    private final ConnectionLimiter limiter = new ConnectionLimiter(loop.eventLoop(), LIMIT);
    private final List<Channel> clients = new ArrayList<>();

    /** Opens clients for as long as the proxy accepts any, as many in each turn as it may accept at once. */
    private void crowd(int atOnce) {
        limiter.listener(listener);
        while (listener.config().isAutoRead()) {
            for (int i = 0; i < atOnce; i++) {
                var client = new EmbeddedChannel();
                clients.add(client);
                limiter.clientOpened(client);
            }
        }
    }

    private int openBackends() {
        int opened = 0;
        while (opened < LIMIT && limiter.admitsBackend()) {
            limiter.backendOpened(new EmbeddedChannel());
            opened++;
        }
        return opened;
    }

    /** Clients that came this instant can't be given up yet: they must not take the places of the backends either. */
    @Test
    void aBurstOfClientsLeavesRoomForBackends() {
        crowd(1);
        assertThat(openBackends()).isPositive();
    }

    @Test
    void staysUnderTheLimit() {
        crowd(1);
        int backends = openBackends();
        assertThat(backends + clients.stream().filter(Channel::isOpen).count())
                .isBetween(LIMIT / 2L, (long) LIMIT - RESERVED);
    }

    /** Connections to backends that were there first count against what is accepted. */
    @Test
    void aBurstOfClientsBesideOpenBackendsStaysUnderTheLimit() {
        int backends = openBackends();
        crowd(SocketTransport.MAX_ACCEPTS_PER_TURN);
        assertThat(clients).isNotEmpty();
        assertThat(backends + clients.size()).isLessThanOrEqualTo(LIMIT - RESERVED);
    }

    /** Until the selector's next turn the descriptors of closed connections are still held. */
    @Test
    void closedConnectionsCountUntilTheyAreReleased() {
        crowd(SocketTransport.MAX_ACCEPTS_PER_TURN);
        clients.forEach(Channel::close);
        assertThat(openBackends() + clients.size()).isLessThanOrEqualTo(LIMIT - RESERVED);
        assertThat(listener.config().isAutoRead()).isFalse();
        loop.runPendingTasks();
        loop.runScheduledPendingTasks();
        assertThat(listener.config().isAutoRead()).isTrue();
    }
}
