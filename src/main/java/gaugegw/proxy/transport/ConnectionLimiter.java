package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the connections of clients and to backends within the {@link DescriptorBudget}, so that the process stays under
 * its limit of file descriptors and calls to discovery always find one. As connections run short, those of clients are
 * closed with their responses and idle ones are evicted. While nothing can be evicted no client is accepted, and new
 * ones wait in the listener's backlog.
 *
 * <p>All methods but {@link #setListeningChannel} are called on the event loop. Connections are counted from their
 * opening until their descriptors are released; each reports here whether it is busy, and so whether it may be evicted.
 */
public final class ConnectionLimiter {
    /** Time in which the first request of a new connection arrives: one evicted sooner would fail that request. */
    private static final long FIRST_REQUEST_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Above this part of the clients' share of the budget, their connections are closed with their responses. */
    private static final int NEAR_CLIENT_LIMIT_PERCENT = 75;

    private final EventLoop loop;
    private final DescriptorBudget budget;
    private final EvictionQueue idleBackends = new EvictionQueue(0);
    /** Clients from which no complete request has arrived yet. */
    private final EvictionQueue newClients = new EvictionQueue(FIRST_REQUEST_GRACE_NS);
    /** Clients that have received a response and have sent no complete request since. */
    private final EvictionQueue idleClients = new EvictionQueue(0);

    private int clients;
    private int backends;
    /** Closed connections whose descriptors the selector has yet to release. */
    private int unreleased;

    private boolean evictionScheduled;
    private Channel listener;

    /**
     * Makes a limiter.
     *
     * @param descriptorLimit the number of file descriptors that the process may hold
     */
    public ConnectionLimiter(EventLoop loop, int descriptorLimit) {
        this.loop = loop;
        budget = DescriptorBudget.of(descriptorLimit);
    }

    /** Sets the listening channel, which accepts only while there is room for all that it may accept in one turn. */
    public void setListeningChannel(Channel channel) {
        listener = channel;
    }

    /** Counts a client's connection from its acceptance until its close. */
    public void clientOpened(Channel channel) {
        assert loop.inEventLoop();
        clients++;
        newClients.add(channel);
        channel.closeFuture().addListener(f -> {
            clients--;
            clientBusy(channel);
            awaitRelease();
        });
        evictSoon();
        updateAccepting();
    }

    /** A client's connection has a request in flight, and is not evicted. */
    public void clientBusy(Channel channel) {
        assert loop.inEventLoop();
        newClients.remove(channel);
        idleClients.remove(channel);
    }

    /** A client's connection has no request in flight, and may be evicted. */
    public void clientIdle(Channel channel) {
        clientBusy(channel);
        if (channel.isOpen()) {
            idleClients.add(channel);
            evictSoon();
        }
    }

    /**
     * Returns whether clients' connections are to be closed with their responses, as they run short. Unlike an eviction,
     * a close with a response never crosses the client's next request.
     */
    public boolean isNearClientLimit() {
        return clients > budget.maxClients() * NEAR_CLIENT_LIMIT_PERCENT / 100;
    }

    /** Makes room for one more connection to a backend, by an eviction if need be; returns whether one may be opened. */
    public boolean tryAdmitBackend() {
        assert loop.inEventLoop();
        // The descriptor of an evicted connection is still held while the new one is opened.
        return open() < budget.maxOpen()
                && (Math.min(clients, budget.maxClients()) + backends < budget.maxConnections()
                        || idleBackends.evictOldest()
                        || evictClient());
    }

    /** Counts a connection to a backend from before its connect until its close. */
    public void backendOpened(Channel channel) {
        assert loop.inEventLoop();
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
        assert loop.inEventLoop();
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
     * Counts a closed socket until its descriptor is released, in the selector's next turn. A task may still run before
     * that turn; what the task schedules runs after it.
     */
    private void awaitRelease() {
        unreleased++;
        loop.execute(() -> loop.schedule(this::released, 0, TimeUnit.NANOSECONDS));
    }

    private void released() {
        assert loop.inEventLoop();
        unreleased--;
        updateAccepting();
    }

    private int open() {
        return clients + backends + unreleased;
    }

    private void updateAccepting() {
        boolean accepting = clients <= budget.maxClients() && open() <= budget.maxConnections();
        if (listener != null && listener.config().isAutoRead() != accepting) {
            listener.config().setAutoRead(accepting);
        }
    }

    private boolean overBudget() {
        return clients > budget.maxClients() || clients + backends > budget.maxConnections();
    }

    /** Evicts in a task: what the loop has found to be readable is read first, and may make a connection busy. */
    private void evictSoon() {
        if (overBudget() && !evictionScheduled) {
            evictionScheduled = true;
            loop.execute(this::evictDownToBudget);
        }
    }

    /** Evicts until the budget is kept; once more later where what is left are new clients. */
    private void evictDownToBudget() {
        evictionScheduled = false;
        while (overBudget()) {
            if (!evictOne()) {
                evictionScheduled = !newClients.isEmpty();
                if (evictionScheduled) {
                    loop.schedule(this::evictDownToBudget, FIRST_REQUEST_GRACE_NS, TimeUnit.NANOSECONDS);
                }
                return;
            }
        }
    }

    private boolean evictOne() {
        boolean tooManyClients = clients > budget.maxClients();
        return (!tooManyClients && idleBackends.evictOldest()) || evictClient();
    }

    private boolean evictClient() {
        return newClients.evictOldest() || idleClients.evictOldest();
    }
}
