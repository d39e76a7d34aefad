package gaugegw.proxy.transport;

import io.netty.channel.Channel;
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

    /**
     * Closes the connection that was added first, if it has the minimum age; returns whether one was closed. Reads it
     * before: a connection with a request that waits unread is busy then and no longer in the queue.
     */
    boolean evictOldest() {
        while (!addedAtNs.isEmpty()) {
            Map.Entry<Channel, Long> oldest = addedAtNs.entrySet().iterator().next();
            Channel channel = oldest.getKey();
            if (System.nanoTime() - oldest.getValue() < minAgeNs) {
                return false;
            }
            Transport.readNow(channel);
            if (addedAtNs.remove(channel) != null) {
                channel.close();
                return true;
            }
        }
        return false;
    }
}
