package gaugegw.proxy.upstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Detects a response that stops arriving before it is complete. Backends write a response in one go, so a response that
 * stops has a wrong length or lacks its end. Without this check the attempt would end only at its timeout, too late for
 * a retry. Used on the event loop only.
 */
final class StallDetector {
    /** A response is considered stalled if no byte of it is received for this long, in milliseconds. */
    private static final long STALL_TIMEOUT_MS = 100;

    /** The connection whose response is watched. */
    interface Connection {
        /** Returns whether an attempt on this connection is still waiting for its response. */
        boolean isAwaitingResponse();

        /** Returns the number of bytes of the response that have been received so far. */
        long receivedBytes();

        /** Called when the response has stalled. */
        void responseStalled();
    }

    private final EventLoop loop;
    private final Connection connection;
    /** The timer of the next check; null while no response is being watched. */
    private Future<?> timer;

    StallDetector(EventLoop loop, Connection connection) {
        this.loop = loop;
        this.connection = connection;
    }

    /** Starts watching the response; does nothing if it is already being watched. */
    void start() {
        if (timer == null) {
            schedule();
        }
    }

    /** Stops watching the response; does nothing if none is being watched. */
    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void schedule() {
        long bytesBefore = connection.receivedBytes();
        timer = loop.schedule(() -> check(bytesBefore), STALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void check(long bytesBefore) {
        timer = null;
        if (!connection.isAwaitingResponse()) {
            return;
        }
        if (connection.receivedBytes() == bytesBefore) {
            connection.responseStalled();
        } else {
            schedule();
        }
    }
}
