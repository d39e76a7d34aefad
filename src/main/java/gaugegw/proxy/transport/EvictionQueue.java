package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Connections that may be closed to make room for others, in the order in which they became so. */
final class EvictionQueue {
    private final long leastIdleNs;
    private final Map<Channel, Long> idleSince = new LinkedHashMap<>();

    /** Makes a queue whose connections may be closed once they have been in it for so many nanoseconds. */
    EvictionQueue(long leastIdleNs) {
        this.leastIdleNs = leastIdleNs;
    }

    void add(Channel channel) {
        idleSince.put(channel, System.nanoTime());
    }

    void remove(Channel channel) {
        idleSince.remove(channel);
    }

    boolean isEmpty() {
        return idleSince.isEmpty();
    }

    /** Closes the connection that has been here for longest; returns whether there was one that may be closed. */
    boolean evictOldest() {
        Iterator<Map.Entry<Channel, Long>> entries = idleSince.entrySet().iterator();
        if (!entries.hasNext()) {
            return false;
        }
        Map.Entry<Channel, Long> oldest = entries.next();
        if (System.nanoTime() - oldest.getValue() < leastIdleNs) {
            return false;
        }
        entries.remove();
        oldest.getKey().close();
        return true;
    }
}
