package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Connections that may be closed to free their descriptors for others, in the order in which they became so. Used on the
 * event loop only.
 */
final class EvictionQueue {
    private final long minAgeNs;
    /** The {@link System#nanoTime} at which each was added. */
    private final Map<Channel, Long> addedAtNs = new LinkedHashMap<>();

    /**
     * Makes an empty queue.
     *
     * @param minAgeNs time in the queue, in nanoseconds, before which a connection is not closed
     */
    EvictionQueue(long minAgeNs) {
        this.minAgeNs = minAgeNs;
    }

    /** Adds a connection, which is not in the queue, at its end. */
    void add(Channel channel) {
        addedAtNs.put(channel, System.nanoTime());
    }

    /** Removes a connection, if it is in the queue. */
    void remove(Channel channel) {
        addedAtNs.remove(channel);
    }

    boolean isEmpty() {
        return addedAtNs.isEmpty();
    }

    /** Closes the connection that was added first; returns whether there was one that may be closed. */
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
