package gaugegw.proxy.upstream;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A backend at one address, with its connection pool and its attempts in flight. Used on the event loop only. */
final class UpstreamEndpoint {
    private final InetSocketAddress address;
    private final UpstreamConnectionPool pool;
    /** The attempts that have been started and have not ended, in the order in which they were started. */
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

    /** Returns whether the endpoint accepts new attempts; if not, its connections are closed after their response. */
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

    /** Returns a copy of the attempts in flight whose request has not been written completely, oldest first. */
    List<UpstreamAttempt> unwrittenAttempts() {
        return attemptsInFlight.stream().filter(a -> !a.isRequestWritten()).toList();
    }
}
