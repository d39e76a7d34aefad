package gaugegw.proxy.lifecycle;

import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.logging.TrafficCounters;
import gaugegw.proxy.logging.TrafficEvent;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.SocketFailureListener;
import io.netty.channel.Channel;
import java.io.IOException;

/** Counts the system calls on sockets that failed and are made again, and logs one of them at intervals. */
final class SocketFailureLog implements SocketFailureListener {
    private static final long LOG_INTERVAL_US = 1_000_000;

    private final Clock clock;
    private final RateLimitedLog log;
    private final TrafficCounters counters;
    private long failuresSinceLog;
    private long loggedAtUs;

    SocketFailureLog(Clock clock, RateLimitedLog log, TrafficCounters counters) {
        this.clock = clock;
        this.log = log;
        this.counters = counters;
        this.loggedAtUs = clock.nowUs() - LOG_INTERVAL_US;
    }

    @Override
    public void callFailed(String call, Channel channel, IOException failure) {
        counters.count(TrafficEvent.SOCKET_CALL_FAILED);
        failuresSinceLog++;
        long nowUs = clock.nowUs();
        if (nowUs - loggedAtUs < LOG_INTERVAL_US) {
            return;
        }
        log.writeException(
                "a system call failed and will be made again, " + call + " on the socket of " + channel + "; "
                        + failuresSinceLog + " such failures since the last such line",
                failure);
        loggedAtUs = nowUs;
        failuresSinceLog = 0;
    }
}
