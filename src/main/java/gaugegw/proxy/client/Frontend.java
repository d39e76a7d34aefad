package gaugegw.proxy.client;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Idempotency;
import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import gaugegw.proxy.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** The clients' side: takes requests in, turns bad ones away, and gives each good one exactly one answer. */
public final class Frontend {
    /** How often the loop shows that it runs, and how late that may be before it counts as held up. */
    private static final long BEAT_US = 10_000;
    /** How often connections are looked at that hold no request. */
    private static final long SWEEP_US = 100_000;

    final Clock clock;
    final RateLimitedLog log;
    final RequestDispatcher proxy;
    final ConnectionLimiter limiter;
    final BooleanSupplier ready;
    final Map<String, Idempotency> effects = new HashMap<>();
    final Set<String> tenants = new HashSet<>();
    /** The connections on which something may still be asked, answered or read by the client. */
    final Set<ClientConnection> connections = new HashSet<>();
    /** Those that were closed for sending, and whose clients have not closed them in the time for it. */
    final Set<ClientConnection> lingering = new HashSet<>();

    private Channel listener;
    boolean leaving;
    boolean closing;
    private long beatAt;
    long heldUpFrom = Long.MAX_VALUE;

    public Frontend(
            Clock clock,
            RateLimitedLog log,
            RequestDispatcher proxy,
            ConnectionLimiter limiter,
            BalancerSettings settings,
            BooleanSupplier ready) {
        this.clock = clock;
        this.log = log;
        this.proxy = proxy;
        this.limiter = limiter;
        this.ready = ready;
        settings.requestClasses().forEach(c -> effects.put(c.name(), c.idempotency()));
        settings.tenants().forEach(t -> tenants.add(t.name()));
    }

    public ChannelFuture listen(Transport transport, InetSocketAddress address) {
        beatAt = clock.now();
        transport.loop().scheduleWithFixedDelay(this::beat, BEAT_US, BEAT_US, TimeUnit.MICROSECONDS);
        transport.loop().scheduleWithFixedDelay(this::sweep, SWEEP_US, SWEEP_US, TimeUnit.MICROSECONDS);
        ChannelFuture bound = transport
                .server()
                .clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        limiter.clientOpened(channel);
                        channel.pipeline().addLast(new ClientConnection(Frontend.this));
                    }
                })
                .bind(transport.address(address));
        listener = bound.channel();
        limiter.listener(listener);
        return bound;
    }

    private void beat() {
        heldUpFrom = arrivedAt(Long.MAX_VALUE);
        beatAt = clock.now();
    }

    /** One timer for all: one for each connection would have to be set anew with each request. */
    private void sweep() {
        long now = clock.now();
        List.copyOf(lingering).forEach(c -> c.expire(now));
        List.copyOf(connections).forEach(c -> c.expire(now));
    }

    /**
     * When a byte that is read now may have come. Where the loop was held up, by a pause of the process or a long batch,
     * the byte may have waited all the while, and a deadline counted from now would be too late. That shows in an
     * overdue beat; as beats and reads take turns, it holds until the beat after it.
     */
    long arrivedAt(long otherwise) {
        return clock.now() - beatAt > 2 * BEAT_US ? beatAt + BEAT_US : otherwise;
    }

    /** Whoever asks hears that no further clients are wanted; those that are here, or come all the same, are served. */
    public void leave() {
        leaving = true;
    }

    /** Accepts no more. */
    public void stopListening() {
        if (listener != null) {
            listener.close();
        }
    }

    /** From now on each answer is its connection's last, so that the clients go elsewhere. */
    public void closeAfterAnswers() {
        closing = true;
    }

    /** Closes the connections on which nothing is asked. */
    public void closeIdle() {
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    /** Returns the number of clients still connected: they may ask, wait for an answer, or it is still being written. */
    public int connected() {
        return connections.size();
    }
}
