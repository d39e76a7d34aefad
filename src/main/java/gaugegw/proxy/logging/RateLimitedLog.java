package gaugegw.proxy.logging;

import java.util.concurrent.TimeUnit;

/**
 * Lines for the operators, on standard error, and no more of them in a second than an operator can use: a failure that
 * repeats thousands of times a second must not take the CPU from the requests that succeed. The number of dropped lines
 * is logged with the next line of a later second.
 *
 * <p>Not thread-safe: a proxy's log is used on its event loop.
 */
public final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** The second of {@link System#nanoTime} that the counts are of. */
    private long second = Long.MIN_VALUE;

    private int lines;
    private int dropped;

    /** Writes a line, or drops it once the lines of this second are used up. Line breaks in the text become spaces. */
    public void write(String text) {
        long now = System.nanoTime() / NANOS_PER_SECOND;
        if (now != second) {
            begin(now);
        }
        if (++lines > MAX_LINES_PER_SECOND) {
            dropped++;
        } else {
            System.err.println(text.replace('\n', ' ').replace('\r', ' '));
        }
    }

    /** Writes an unexpected error in one line, with the place where it was thrown. */
    public void writeException(String what, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        write(what + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    private void begin(long newSecond) {
        if (dropped > 0) {
            System.err.println("(" + dropped + " lines dropped)");
        }
        second = newSecond;
        lines = 0;
        dropped = 0;
    }
}
