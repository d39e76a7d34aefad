package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Limits the number of open client and backend connections to the {@link DescriptorBudget}, so that the process does
 * not exceed its limit on file descriptors and a call to discovery always gets one. When the number of client
 * connections comes near its limit, each is closed after its next response. When a limit is exceeded, idle connections
 * are evicted, that is, closed. While that is not enough, no connections are accepted, and new clients wait in the
 * backlog of the listening socket.
 *
 * <p>All methods except {@link #setListeningChannel} are called on the event loop. A connection counts from when it is
 * opened until its descriptor is released. Its handlers report here whether it is busy or idle. Only idle connections
 * and new client connections may be evicted.
 */
public final class ConnectionLimiter {
    /** A new client connection is not evicted for this long: its first request may be on the way and would fail. */
    private static final long FIRST_REQUEST_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(20);
    /** A lingering connection is not evicted for this long: its client may not have read its last response yet. */
    private static final long LINGER_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Above this percentage of the limit on client connections, each is closed after its next response. */
    private static final int NEAR_CLIENT_LIMIT_PERCENT = 75;

    private final EventLoop loop;
    private final DescriptorBudget budget;
    private final EvictionQueue idleBackends = new EvictionQueue(0);
    /** Client connections on which no complete request has been received yet. */
    private final EvictionQueue newClients = new EvictionQueue(FIRST_REQUEST_GRACE_NS);
    /** Client connections that have their last response; they stay open only so that the client can read it. */
    private final EvictionQueue lingeringClients = new EvictionQueue(LINGER_GRACE_NS);
    /** Client connections on which no complete request has been received since the last response. */
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

    /** Counts an accepted client connection until it is closed and its descriptor is released. */
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

    /** Marks a client connection as busy: it has a request in flight and must not be evicted. */
    public void clientBusy(Channel channel) {
        assert loop.inEventLoop();
        newClients.remove(channel);
        idleClients.remove(channel);
        lingeringClients.remove(channel);
    }

    /** Marks a client connection as lingering: its client has the last response, and it may be evicted soon. */
    public void clientLingering(Channel channel) {
        clientBusy(channel);
        if (channel.isOpen()) {
            lingeringClients.add(channel);
            scheduleEviction();
        }
    }

    /** Marks a client connection as idle: it has no request in flight and may be evicted. */
    public void clientIdle(Channel channel) {
        clientBusy(channel);
        if (channel.isOpen()) {
            idleClients.add(channel);
            scheduleEviction();
        }
    }

    /**
     * Returns whether client connections should be closed after their next response, because there are almost too many.
     * A response announces that close, so the client sends no further request on the connection. An eviction is not
     * announced, and may close a connection on which a request is on the way. Connections without a request and
     * lingering ones do not count: they can be evicted instead.
     */
    public boolean isNearClientLimit() {
        return clients - newClients.size() - lingeringClients.size()
                > budget.maxClients() * NEAR_CLIENT_LIMIT_PERCENT / 100;
    }

    /** Returns whether a backend connection may be opened; evicts another connection if that is necessary. */
    public boolean makeRoomForBackend() {
        assert loop.inEventLoop();
        // The hard limit applies in any case: an evicted connection keeps its descriptor until the new one is opened.
        return heldDescriptors() < budget.hardConnectionLimit()
                && (Math.min(clients, budget.maxClients()) + backends < budget.softConnectionLimit()
                        || idleBackends.evictOldest()
                        || lingeringClients.evictOldest()
                        || newClients.evictOldest()
                        || idleClients.evictOldest());
    }

    /** Counts a backend connection, which is about to connect, until it is closed and its descriptor is released. */
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

    /** Marks a backend connection as busy: it carries an attempt and must not be evicted. */
    public void backendBusy(Channel channel) {
        assert loop.inEventLoop();
        idleBackends.remove(channel);
    }

    /** Marks a backend connection as idle: it carries no attempt and may be evicted. */
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

    /** Returns the number of descriptors that connections hold, including closed ones that are not released yet. */
    private int heldDescriptors() {
        return clients + backends + closedUnreleased;
    }

    private void updateAccepting() {
        boolean accepting = clients <= budget.maxClients() && heldDescriptors() <= budget.softConnectionLimit();
        if (listeningChannel != null && listeningChannel.config().isAutoRead() != accepting) {
            setAccepting(accepting);
        }
    }

    private void setAccepting(boolean accepting) {
        if (listeningChannel instanceof RetryingServerSocketChannel sockets) {
            sockets.setAccepting(accepting);
        } else {
            listeningChannel.config().setAutoRead(accepting);
        }
    }

    private boolean overBudget() {
        return clients > budget.maxClients() || clients + backends > budget.softConnectionLimit();
    }

    /**
     * Schedules a task that evicts connections, if too many are open. Before that task, the event loop reads the
     * sockets that it already knows to be readable; a connection that has received a request is then busy and not
     * evicted.
     */
    private void scheduleEviction() {
        if (overBudget() && !evictionScheduled) {
            evictionScheduled = true;
            loop.execute(this::evictDownToBudget);
        }
    }

    /**
     * Evicts connections until the limits are met or no further connection may be evicted. If new or lingering clients
     * are left then, tries again when they may be evicted too.
     */
    private void evictDownToBudget() {
        evictionScheduled = false;
        while (overBudget()) {
            if (!evictOne()) {
                evictionScheduled = !newClients.isEmpty() || !lingeringClients.isEmpty();
                if (evictionScheduled) {
                    loop.schedule(this::evictDownToBudget, FIRST_REQUEST_GRACE_NS, TimeUnit.NANOSECONDS);
                }
                return;
            }
        }
    }

    /** Evicts a connection, which is a client connection if there are too many of those; returns whether it did. */
    private boolean evictOne() {
        boolean tooManyClients = clients > budget.maxClients();
        return (!tooManyClients && idleBackends.evictOldest()) || evictClient();
    }

    /**
     * Evicts a lingering client, or one that has not sent a request, and only if there is none one that is idle. Clients
     * that connect faster than they may be evicted must not take the place of those that send requests; they wait in the
     * backlog.
     */
    private boolean evictClient() {
        return lingeringClients.evictOldest()
                || (newClients.isEmpty() ? idleClients.evictOldest() : newClients.evictOldest());
    }
}
