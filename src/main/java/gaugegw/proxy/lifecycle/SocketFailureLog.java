package gaugegw.proxy.lifecycle;

import gaugegw.proxy.logging.SampledLog;
import gaugegw.proxy.logging.TrafficCounters;
import gaugegw.proxy.logging.TrafficEvent;
import gaugegw.proxy.transport.SocketFailureListener;
import io.netty.channel.Channel;
import java.io.IOException;

/** Counts the system calls on sockets that failed and are made again, and logs some of them. */
final class SocketFailureLog implements SocketFailureListener {
    private final SampledLog log;
    private final TrafficCounters counters;

    SocketFailureLog(SampledLog log, TrafficCounters counters) {
        this.log = log;
        this.counters = counters;
    }

    @Override
    public void callFailed(String call, Channel channel, IOException failure) {
        counters.count(TrafficEvent.SOCKET_CALL_FAILED);
        log.event(() -> "a system call failed and will be made again, " + call + " on the socket of " + channel + ": "
                + failure);
    }
}
