package gaugegw.proxy.transport;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * The proxy's one clock: Unix time in microseconds. The system's time is read once, when the clock is made, and carried
 * on by the monotonic timer. So its times compare with the start times in discovery's endpoint list, and it never goes
 * back, also when the system's time is set. Two clocks may differ by what the system's time was set meanwhile: times of
 * one proxy all come from one clock. May be used from any thread.
 */
public final class Clock {
    private static final long NANOS_PER_MICRO = 1_000;

    private final long startUnixUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long startNanos = System.nanoTime();

    /** Returns the Unix time in microseconds. */
    public long nowUs() {
        return startUnixUs + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
    }
}
