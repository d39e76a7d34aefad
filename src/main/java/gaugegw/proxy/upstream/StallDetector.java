package gaugegw.proxy.upstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Detects a response that has begun and does not go on. Backends write a response in one go: one that stops half-way
 * has a wrong length or no end, and without this check its attempt would end only with its timeout, too late for a
 * retry. Used on the event loop only.
 */
final class StallDetector {
    /** A response is stalled if nothing of it is received for so long. */
    private static final long STALL_MS = 100;

    /** The connection that is watched. */
    interface Connection {
        /** Returns whether an attempt still waits for its response. */
        boolean awaitsResponse();

        /** Returns the number of bytes received of the response so far. */
        long receivedBytes();

        /** Called once the response has stalled. */
        void responseStalled();
    }

    private final EventLoop loop;
    private final Connection connection;
    /** Null while nothing is watched. */
    private Future<?> timer;

    StallDetector(EventLoop loop, Connection connection) {
        this.loop = loop;
        this.connection = connection;
    }

    /** Starts watching, unless it has started before. */
    void start() {
        if (timer == null) {
            schedule();
        }
    }

    /** Stops watching; has no effect if nothing is watched. */
    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void schedule() {
        long bytesBefore = connection.receivedBytes();
        timer = loop.schedule(() -> check(bytesBefore), STALL_MS, TimeUnit.MILLISECONDS);
    }

    private void check(long bytesBefore) {
        timer = null;
        if (!connection.awaitsResponse()) {
            return;
        }
        if (connection.receivedBytes() == bytesBefore) {
            connection.responseStalled();
        } else {
            schedule();
        }
    }
}
