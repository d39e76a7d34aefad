package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** The idle time above which connections are not reused, learned from synthetic requests with a fixed seed. */
class LearnedIdleLimitTest {
    private static final long US_PER_MS = 1_000;

    private final LearnedIdleLimit limit = new LearnedIdleLimit();
    private final Random random = new Random(1);

    /** Records requests on connections that were idle for the given time; each is reset with the given probability. */
    private void record(int requests, long idleUs, double resetRate) {
        for (int i = 0; i < requests; i++) {
            limit.record(idleUs, random.nextDouble() < resetRate);
        }
    }

    /**
     * A few requests are reset after any idle time, but many more after 130 ms, because something drops idle
     * connections. Connections that were idle for that long or longer must not be allowed, those idle for less must be.
     */
    @Test
    void idleTimesWithManyResetsAreNotAllowed() {
        for (int round = 0; round < 40; round++) {
            record(10, 0, 0.05);
            record(30, 20 * US_PER_MS, 0.05);
            record(3, 80 * US_PER_MS, 0.05);
            if (limit.allows(130 * US_PER_MS)) {
                record(1, 130 * US_PER_MS, 0.4);
            }
        }
        assertThat(limit.allows(130 * US_PER_MS)).isFalse();
        assertThat(limit.allows(30_000 * US_PER_MS)).isFalse();
        assertThat(limit.allows(80 * US_PER_MS)).isTrue();
    }

    /** If requests on new connections are reset as often, idle time is not the cause, and a limit would not help. */
    @Test
    void resetsThatDoNotDependOnIdleTimeSetNoLimit() {
        for (int round = 0; round < 100; round++) {
            record(10, 0, 0.05);
            record(30, 20 * US_PER_MS, 0.05);
            record(3, 130 * US_PER_MS, 0.05);
        }
        assertThat(limit.allows(130 * US_PER_MS)).isTrue();
    }

    /**
     * What caused the resets may have been repaired. After many requests without resets, long idle times must be
     * allowed again.
     */
    @Test
    void limitIsLiftedAsOldResetsDecay() {
        record(100, 0, 0);
        record(5, 130 * US_PER_MS, 1);
        assertThat(limit.allows(130 * US_PER_MS)).isFalse();
        record(20_000, 0, 0);
        assertThat(limit.allows(130 * US_PER_MS)).isTrue();
    }
}
