package gaugegw.proxy.soak;

import java.io.Closeable;
import java.util.concurrent.TimeUnit;

/**
 * Measures for how long the threads of this process did not run although they could have: while the machine or the
 * process stands still, clients and backends see times that are not the proxy's.
 */
final class StallMeter implements Closeable {
    private static final long INTERVAL_MS = 2;

    private final Thread thread = new Thread(this::measure, "stall meter");
    private volatile long longestMs;

    StallMeter() {
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the longest time for which this process did not run, in milliseconds. */
    long longestMs() {
        return longestMs;
    }

    private void measure() {
        long lastNs = System.nanoTime();
        while (!Thread.currentThread().isInterrupted()) {
            try {
                Thread.sleep(INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
            long nowNs = System.nanoTime();
            longestMs = Math.max(longestMs, TimeUnit.NANOSECONDS.toMillis(nowNs - lastNs) - INTERVAL_MS);
            lastNs = nowNs;
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
