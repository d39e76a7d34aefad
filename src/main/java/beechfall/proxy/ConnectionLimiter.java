package beechfall.proxy;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the connections of clients and backends within the {@link DescriptorBudget}, so that the process stays under
 * its limit of descriptors. As connections run short, those of clients end with their answers and idle ones are evicted;
 * while nothing can be evicted, no client is accepted and the others wait in the listener's queue.
 */
final class ConnectionLimiter {
    /** A request that is on its way to a new connection has come by then: evicted sooner, it would fail. */
    private static final long FIRST_REQUEST_NS = TimeUnit.MILLISECONDS.toNanos(20);

    private final EventLoop loop;
    private final DescriptorBudget budget;
    private final EvictionQueue idleBackends = new EvictionQueue(0);
    /** Clients from which no whole request has come yet. */
    private final EvictionQueue silentClients = new EvictionQueue(FIRST_REQUEST_NS);
    /** Clients that have had an answer and have sent no whole request since. */
    private final EvictionQueue idleClients = new EvictionQueue(0);

    private int clients;
    private int backends;
    private boolean evictionScheduled;
    private Channel listener;

    /** Makes a limiter for a process that may hold so many descriptors; all its methods are called on the loop. */
    ConnectionLimiter(EventLoop loop, int descriptorLimit) {
        this.loop = loop;
        budget = DescriptorBudget.of(descriptorLimit);
    }

    /** Sets the listening channel, which does not accept while clients are over their part. */
    void listener(Channel channel) {
        listener = channel;
    }

    /** Counts a client's connection from its acceptance up to its close. */
    void clientOpened(Channel channel) {
        clients++;
        silentClients.add(channel);
        channel.closeFuture().addListener(f -> {
            clients--;
            clientBusy(channel);
            updateAccepting();
        });
        evictSoon();
        updateAccepting();
    }

    /** A client's connection holds a request, and is not evicted. */
    void clientBusy(Channel channel) {
        silentClients.remove(channel);
        idleClients.remove(channel);
    }

    /** A client's connection holds no request, and may be evicted. */
    void clientIdle(Channel channel) {
        clientBusy(channel);
        if (channel.isOpen()) {
            idleClients.add(channel);
            evictSoon();
        }
    }

    /**
     * Returns whether clients' connections are to be closed with their answers, as they run short: a close with an
     * answer, unlike an eviction, never crosses the client's next request.
     */
    boolean nearClientLimit() {
        return clients > budget.clients() * 3 / 4;
    }

    /** Returns whether one more connection to a backend may be opened; evicts an idle connection where that helps. */
    boolean admitsBackend() {
        return Math.min(clients, budget.clients()) + backends < budget.connections()
                || idleBackends.evictOldest()
                || evictClient();
    }

    /** Counts a connection to a backend from before its connect up to its close. */
    void backendOpened(Channel channel) {
        backends++;
        channel.closeFuture().addListener(f -> {
            backends--;
            backendBusy(channel);
        });
    }

    /** A connection to a backend carries an attempt, and is not evicted. */
    void backendBusy(Channel channel) {
        idleBackends.remove(channel);
    }

    /** A connection to a backend carries no attempt, and may be evicted. */
    void backendIdle(Channel channel) {
        backendBusy(channel);
        if (channel.isOpen()) {
            idleBackends.add(channel);
        }
    }

    private void updateAccepting() {
        boolean accepting = clients <= budget.clients();
        if (listener != null && listener.config().isAutoRead() != accepting) {
            listener.config().setAutoRead(accepting);
        }
    }

    private boolean overBudget() {
        return clients > budget.clients();
    }

    /** As a task: what the loop has found to be readable is read first, and its connection is idle no more. */
    private void evictSoon() {
        if (overBudget() && !evictionScheduled) {
            evictionScheduled = true;
            loop.execute(this::evictDownToBudget);
        }
    }

    private void evictDownToBudget() {
        evictionScheduled = false;
        while (overBudget()) {
            if (!evictClient()) {
                evictionScheduled = !silentClients.isEmpty();
                if (evictionScheduled) {
                    loop.schedule(this::evictDownToBudget, FIRST_REQUEST_NS, TimeUnit.NANOSECONDS);
                }
                return;
            }
        }
    }

    private boolean evictClient() {
        return silentClients.evictOldest() || idleClients.evictOldest();
    }
}
