package gaugegw.proxy.transport;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Estimates how long a connection has waited in the backlog of the listening socket before it was accepted. The kernel
 * does not tell. A connection can have waited since the backlog was last known to be empty, which is while accepts take
 * one connection after the other, and while accepting is paused. Used on the event loop only.
 */
final class BacklogWait {
    /**
     * Upper bound of the estimate, in nanoseconds. Where clients connect all the time, the backlog may be empty for a
     * moment that is not seen, and a longer estimate would leave no time for requests that have waited only briefly.
     */
    private static final long MAX_WAIT_NS = TimeUnit.MILLISECONDS.toNanos(500);

    private final LongSupplier nanoTime;
    private boolean emptyBefore = true;
    /** When the backlog was last known to be empty, if it may be filled now. */
    private long filledSinceNs;

    BacklogWait(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** Records that the backlog may be filled from now on, unless it already was. */
    void mayFill() {
        if (emptyBefore) {
            emptyBefore = false;
            filledSinceNs = nanoTime.getAsLong();
        }
    }

    /** Records that an accept has found the backlog empty. */
    void foundEmpty() {
        emptyBefore = true;
    }

    /**
     * Returns since when a connection that is accepted now is assumed to have waited, as {@link System#nanoTime}; the
     * current time if it has not.
     */
    long connectedSinceNs() {
        long nowNs = nanoTime.getAsLong();
        return emptyBefore ? nowNs : nowNs - Math.min(MAX_WAIT_NS, nowNs - filledSinceNs);
    }
}
