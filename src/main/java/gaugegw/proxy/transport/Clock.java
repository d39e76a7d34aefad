package gaugegw.proxy.transport;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.LongSupplier;

/**
 * The clock of a proxy: Unix time in microseconds. It reads the system clock once, when it is created, and advances
 * with the monotonic {@link System#nanoTime} from then on. So its times can be compared with the start times in
 * discovery's endpoint list, and they never go back, even if the system clock is set. Two instances differ if the
 * system clock was set between their creation; therefore all times of a proxy come from a single instance. Thread-safe.
 */
public final class Clock {
    private static final long NANOS_PER_MICRO = 1_000;

    private final long startUnixUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final LongSupplier monotonicNs;
    private final long startNs;

    /** Creates a clock that advances with {@link System#nanoTime}. */
    public Clock() {
        this(System::nanoTime);
    }

    /**
     * Creates a clock that starts at the current Unix time.
     *
     * @param monotonicNs the source of the time that has passed, in nanoseconds; must never go back
     */
    public Clock(LongSupplier monotonicNs) {
        this.monotonicNs = monotonicNs;
        this.startNs = monotonicNs.getAsLong();
    }

    /** Returns the current Unix time in microseconds. */
    public long nowUs() {
        return startUnixUs + (monotonicNs.getAsLong() - startNs) / NANOS_PER_MICRO;
    }
}
