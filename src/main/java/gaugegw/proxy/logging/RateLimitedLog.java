package gaugegw.proxy.logging;

import java.util.concurrent.TimeUnit;

/**
 * Writes log lines for the operators to standard error, up to a limited number per second: logging a failure that
 * repeats thousands of times a second must not take CPU time from the requests that succeed. The number of dropped
 * lines is logged before the first line of a later second.
 *
 * <p>Not thread-safe: the log of a proxy is used on its event loop only.
 */
public final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** The second that the counters below refer to, on the scale of {@link System#nanoTime}. */
    private long second = Long.MIN_VALUE;

    /** The lines of this second, including those dropped. */
    private int linesThisSecond;

    private int droppedLines;

    /** Writes a line, or drops it if the limit of this second is reached. Line breaks in the text become spaces. */
    public void write(String text) {
        long now = System.nanoTime() / NANOS_PER_SECOND;
        if (now != second) {
            startSecond(now);
        }
        if (++linesThisSecond > MAX_LINES_PER_SECOND) {
            droppedLines++;
        } else {
            System.err.println(text.replace('\n', ' ').replace('\r', ' '));
        }
    }

    /** Writes a message and an unexpected exception in one line, with the place where the exception was thrown. */
    public void writeException(String message, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        write(message + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    private void startSecond(long newSecond) {
        if (droppedLines > 0) {
            System.err.println("log rate limit exceeded: " + droppedLines + " lines dropped");
        }
        second = newSecond;
        linesThisSecond = 0;
        droppedLines = 0;
    }
}
