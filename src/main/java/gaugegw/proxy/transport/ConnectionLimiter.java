package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the connections of clients and backends within the {@link DescriptorBudget}, so that the process stays under
 * its limit of descriptors and the calls to discovery always find one. As connections run short, those of clients end
 * with their answers and idle ones are evicted; while nothing can be evicted, no client is accepted and the others wait
 * in the listener's queue.
 */
public final class ConnectionLimiter {
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
    /** Closed connections whose descriptors the selector has yet to release. */
    private int closing;

    private boolean evictionScheduled;
    private Channel listener;

    /** Makes a limiter for a process that may hold so many descriptors; all its methods are called on the loop. */
    public ConnectionLimiter(EventLoop loop, int descriptorLimit) {
        this.loop = loop;
        budget = DescriptorBudget.of(descriptorLimit);
    }

    /** Sets the listening channel, which accepts only while there is room for all that it may accept in one turn. */
    public void listener(Channel channel) {
        listener = channel;
    }

    /** Counts a client's connection from its acceptance up to its close. */
    public void clientOpened(Channel channel) {
        clients++;
        silentClients.add(channel);
        channel.closeFuture().addListener(f -> {
            clients--;
            clientBusy(channel);
            awaitRelease();
        });
        evictSoon();
        updateAccepting();
    }

    /** A client's connection holds a request, and is not evicted. */
    public void clientBusy(Channel channel) {
        silentClients.remove(channel);
        idleClients.remove(channel);
    }

    /** A client's connection holds no request, and may be evicted. */
    public void clientIdle(Channel channel) {
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
    public boolean nearClientLimit() {
        return clients > budget.clients() * 3 / 4;
    }

    /** Returns whether one more connection to a backend may be opened; evicts an idle connection where that helps. */
    public boolean admitsBackend() {
        // The descriptor of an evicted connection is still held while the new one is opened.
        return open() < budget.most()
                && (Math.min(clients, budget.clients()) + backends < budget.connections()
                        || idleBackends.evictOldest()
                        || evictClient());
    }

    /** Counts a connection to a backend from before its connect up to its close. */
    public void backendOpened(Channel channel) {
        backends++;
        channel.closeFuture().addListener(f -> {
            backends--;
            backendBusy(channel);
            awaitRelease();
        });
        updateAccepting();
    }

    /** A connection to a backend carries an attempt, and is not evicted. */
    public void backendBusy(Channel channel) {
        idleBackends.remove(channel);
    }

    /** A connection to a backend carries no attempt, and may be evicted. */
    public void backendIdle(Channel channel) {
        backendBusy(channel);
        if (channel.isOpen()) {
            idleBackends.add(channel);
            evictSoon();
        }
    }

    /**
     * A closed socket keeps its descriptor until the selector's next turn. A task may still run before that; what it
     * schedules runs after it.
     */
    private void awaitRelease() {
        closing++;
        loop.execute(() -> loop.schedule(this::released, 0, TimeUnit.NANOSECONDS));
    }

    private void released() {
        closing--;
        updateAccepting();
    }

    private int open() {
        return clients + backends + closing;
    }

    private void updateAccepting() {
        boolean accepting = clients <= budget.clients() && open() <= budget.connections();
        if (listener != null && listener.config().isAutoRead() != accepting) {
            listener.config().setAutoRead(accepting);
        }
    }

    private boolean overBudget() {
        return clients > budget.clients() || clients + backends > budget.connections();
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
            if (!evictOne()) {
                evictionScheduled = !silentClients.isEmpty();
                if (evictionScheduled) {
                    loop.schedule(this::evictDownToBudget, FIRST_REQUEST_NS, TimeUnit.NANOSECONDS);
                }
                return;
            }
        }
    }

    private boolean evictOne() {
        boolean tooManyClients = clients > budget.clients();
        return (!tooManyClients && idleBackends.evictOldest()) || evictClient();
    }

    private boolean evictClient() {
        return silentClients.evictOldest() || idleClients.evictOldest();
    }
}
