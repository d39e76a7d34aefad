package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Limits the number of open connections of clients and to backends to the {@link DescriptorBudget}, so that the process
 * does not exceed its limit on file descriptors and a call to discovery always gets one. When client connections come
 * near their limit, they are closed with their responses. When a limit is exceeded, idle connections are evicted, that
 * is, closed. While evictions do not suffice, no connections are accepted, and new clients wait in the backlog of the
 * listening socket.
 *
 * <p>All methods except {@link #setListeningChannel} are called on the event loop. A connection counts from when it is
 * opened until its descriptor is released. Its handlers report here whether it is busy or idle; only an idle connection
 * and a new client may be evicted.
 */
public final class ConnectionLimiter {
    /** A new client is not evicted for this long, as its first request may be on the way and would fail. */
    private static final long FIRST_REQUEST_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Above this percentage of the limit for clients, their connections are closed with their responses. */
    private static final int NEAR_CLIENT_LIMIT_PERCENT = 75;

    private final EventLoop loop;
    private final DescriptorBudget budget;
    private final EvictionQueue idleBackends = new EvictionQueue(0);
    /** Connections of clients that have not sent a complete request yet. */
    private final EvictionQueue newClients = new EvictionQueue(FIRST_REQUEST_GRACE_NS);
    /** Connections of clients that have received a response and have sent no complete request since. */
    private final EvictionQueue idleClients = new EvictionQueue(0);

    private int clients;
    private int backends;
    /** Number of closed connections whose descriptors the selector has not released yet. */
    private int closedUnreleased;

    private boolean evictionScheduled;
    private Channel listeningChannel;

    /**
     * Creates a limiter.
     *
     * @param descriptorLimit the number of file descriptors that the process may have open
     */
    public ConnectionLimiter(EventLoop loop, int descriptorLimit) {
        this.loop = loop;
        budget = DescriptorBudget.of(descriptorLimit);
    }

    /** Sets the listening channel, which accepts connections only while the budget allows it. */
    public void setListeningChannel(Channel channel) {
        listeningChannel = channel;
    }

    /** Counts a client's connection that has been accepted, until it is closed and its descriptor is released. */
    public void clientOpened(Channel channel) {
        assert loop.inEventLoop();
        clients++;
        newClients.add(channel);
        channel.closeFuture().addListener(f -> {
            clients--;
            clientBusy(channel);
            countUntilReleased();
        });
        scheduleEviction();
        updateAccepting();
    }

    /** Marks a client's connection as busy: it has a request in flight and must not be evicted. */
    public void clientBusy(Channel channel) {
        assert loop.inEventLoop();
        newClients.remove(channel);
        idleClients.remove(channel);
    }

    /** Marks a client's connection as idle: it has no request in flight and may be evicted. */
    public void clientIdle(Channel channel) {
        clientBusy(channel);
        if (channel.isOpen()) {
            idleClients.add(channel);
            scheduleEviction();
        }
    }

    /**
     * Returns whether connections of clients should be closed with their responses, because there are almost too many.
     * Unlike an eviction, a close that a response announces can't cross the client's next request.
     */
    public boolean isNearClientLimit() {
        return clients > budget.maxClients() * NEAR_CLIENT_LIMIT_PERCENT / 100;
    }

    /** Returns whether a connection to a backend may be opened; evicts another connection if that is necessary. */
    public boolean makeRoomForBackend() {
        assert loop.inEventLoop();
        // An evicted connection still holds its descriptor while the new one is opened: first check the hard limit.
        return heldDescriptors() < budget.hardConnectionLimit()
                && (Math.min(clients, budget.maxClients()) + backends < budget.softConnectionLimit()
                        || idleBackends.evictOldest()
                        || evictClient());
    }

    /** Counts a connection to a backend that is about to connect, until it is closed and its descriptor is released. */
    public void backendOpened(Channel channel) {
        assert loop.inEventLoop();
        backends++;
        channel.closeFuture().addListener(f -> {
            backends--;
            backendBusy(channel);
            countUntilReleased();
        });
        updateAccepting();
    }

    /** Marks a connection to a backend as busy: it carries an attempt and must not be evicted. */
    public void backendBusy(Channel channel) {
        assert loop.inEventLoop();
        idleBackends.remove(channel);
    }

    /** Marks a connection to a backend as idle: it carries no attempt and may be evicted. */
    public void backendIdle(Channel channel) {
        backendBusy(channel);
        if (channel.isOpen()) {
            idleBackends.add(channel);
            scheduleEviction();
        }
    }

    /**
     * Counts a closed connection until the selector runs next, which is when its descriptor is released. A task that is
     * submitted now may run before the selector does; a timer that the task schedules runs after it.
     */
    private void countUntilReleased() {
        closedUnreleased++;
        loop.execute(() -> loop.schedule(this::descriptorReleased, 0, TimeUnit.NANOSECONDS));
    }

    private void descriptorReleased() {
        assert loop.inEventLoop();
        closedUnreleased--;
        updateAccepting();
    }

    /** Returns the number of descriptors that connections hold, including closed connections. */
    private int heldDescriptors() {
        return clients + backends + closedUnreleased;
    }

    private void updateAccepting() {
        boolean accepting = clients <= budget.maxClients() && heldDescriptors() <= budget.softConnectionLimit();
        if (listeningChannel != null && listeningChannel.config().isAutoRead() != accepting) {
            listeningChannel.config().setAutoRead(accepting);
        }
    }

    private boolean overBudget() {
        return clients > budget.maxClients() || clients + backends > budget.softConnectionLimit();
    }

    /**
     * Evicts connections in a task, if too many are open. By then the event loop has read the sockets that it already
     * knows to be readable, and a connection that has received a request is busy and not evicted.
     */
    private void scheduleEviction() {
        if (overBudget() && !evictionScheduled) {
            evictionScheduled = true;
            loop.execute(this::evictDownToBudget);
        }
    }

    /**
     * Evicts connections until the limits are kept or none may be evicted. If there are new clients left then, tries
     * again when they may be evicted too.
     */
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

    /** Evicts one connection, a client's if there are too many clients; returns whether there was one to evict. */
    private boolean evictOne() {
        boolean tooManyClients = clients > budget.maxClients();
        return (!tooManyClients && idleBackends.evictOldest()) || evictClient();
    }

    private boolean evictClient() {
        return newClients.evictOldest() || idleClients.evictOldest();
    }
}
