package gaugegw.proxy.upstream;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One backend at one address: its connections and the attempts in flight to it. Used on the event loop only. */
final class UpstreamEndpoint {
    private final InetSocketAddress address;
    private final UpstreamConnectionPool pool;
    /** Started and not ended, in the order of their start. */
    private final Set<UpstreamAttempt> attemptsInFlight = new LinkedHashSet<>();

    private boolean ready;

    UpstreamEndpoint(UpstreamContext context, InetSocketAddress address) {
        this.address = address;
        this.pool = new UpstreamConnectionPool(context, this);
    }

    InetSocketAddress address() {
        return address;
    }

    UpstreamConnectionPool pool() {
        return pool;
    }

    /** Returns whether the endpoint takes new attempts, and whether its connections are kept after a response. */
    boolean isReady() {
        return ready;
    }

    void setReady(boolean ready) {
        this.ready = ready;
    }

    void attemptStarted(UpstreamAttempt attempt) {
        attemptsInFlight.add(attempt);
    }

    void attemptEnded(UpstreamAttempt attempt) {
        attemptsInFlight.remove(attempt);
    }

    boolean hasAttempts() {
        return !attemptsInFlight.isEmpty();
    }

    /** Returns a copy of the attempts in flight whose request has not been written completely, in their order. */
    List<UpstreamAttempt> unwrittenAttempts() {
        return attemptsInFlight.stream().filter(a -> !a.isRequestWritten()).toList();
    }
}
