package gaugegw.proxy.logging;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Logs one of many similar events at intervals, with the number of events since the line before. Used on the event loop
 * only.
 */
public final class SampledLog {
    private static final long INTERVAL_US = 1_000_000;

    private final LongSupplier clock;
    private final RateLimitedLog log;
    private long eventsSinceLine;
    private long loggedAtUs;

    /**
     * Creates a log whose first event is logged.
     *
     * @param clock the proxy's clock, in microseconds
     */
    public SampledLog(LongSupplier clock, RateLimitedLog log) {
        this.clock = clock;
        this.log = log;
        this.loggedAtUs = clock.getAsLong() - INTERVAL_US;
    }

    /**
     * Counts an event, and logs it if the last line is old enough.
     *
     * @param text describes the event; called only if it is logged
     */
    public void event(Supplier<String> text) {
        eventsSinceLine++;
        long nowUs = clock.getAsLong();
        if (nowUs - loggedAtUs < INTERVAL_US) {
            return;
        }
        log.write(text.get() + "; " + eventsSinceLine + " such events since the last such line");
        loggedAtUs = nowUs;
        eventsSinceLine = 0;
    }
}
