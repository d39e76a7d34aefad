package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Connections that may be closed to free their descriptors for other connections, in the order in which they were
 * added. Used on the event loop only.
 */
final class EvictionQueue {
    private final long minAgeNs;
    /** When each connection was added, as {@link System#nanoTime}; oldest first. */
    private final Map<Channel, Long> addedAtNs = new LinkedHashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param minAgeNs how long a connection must be in the queue before it may be closed, in nanoseconds
     */
    EvictionQueue(long minAgeNs) {
        this.minAgeNs = minAgeNs;
    }

    /** Adds a connection at the end of the queue; it must not be in the queue already. */
    void add(Channel channel) {
        addedAtNs.put(channel, System.nanoTime());
    }

    /** Removes a connection; does nothing if it is not in the queue. */
    void remove(Channel channel) {
        addedAtNs.remove(channel);
    }

    int size() {
        return addedAtNs.size();
    }

    boolean isEmpty() {
        return addedAtNs.isEmpty();
    }

    /** Closes the connection that was added first, if it has the minimum age; returns whether one was closed. */
    boolean evictOldest() {
        Iterator<Map.Entry<Channel, Long>> entries = addedAtNs.entrySet().iterator();
        if (!entries.hasNext()) {
            return false;
        }
        Map.Entry<Channel, Long> oldest = entries.next();
        if (System.nanoTime() - oldest.getValue() < minAgeNs) {
            return false;
        }
        entries.remove();
        oldest.getKey().close();
        return true;
    }
}
