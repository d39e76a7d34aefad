package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** The idle time up to which connections are used, learned from synthetic requests with a fixed seed. */
class LearnedIdleLimitTest {
    private static final long US_PER_MS = 1_000;

    private final LearnedIdleLimit limit = new LearnedIdleLimit();
    private final Random random = new Random(1);

    /** Records requests on connections that were idle for so long, of which a share is reset. */
    private void record(int requests, long idleUs, double resetShare) {
        for (int i = 0; i < requests; i++) {
            limit.record(idleUs, random.nextDouble() < resetShare);
        }
    }

    /**
     * A few requests are reset after any idle time, and far more of them after 130 ms: something drops idle
     * connections. Connections idle for so long, or longer, must not be used, and those idle for less must.
     */
    @Test
    void limitIsBelowTheIdleTimeAfterWhichRequestsAreReset() {
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

    /** Resets that are as common on new connections have another cause: giving up idle connections would not help. */
    @Test
    void resetsRegardlessOfIdleTimeSetNoLimit() {
        for (int round = 0; round < 100; round++) {
            record(10, 0, 0.05);
            record(30, 20 * US_PER_MS, 0.05);
            record(3, 130 * US_PER_MS, 0.05);
        }
        assertThat(limit.allows(130 * US_PER_MS)).isTrue();
    }

    /**
     * The cause of the resets may have been mended: after many requests without resets, long idle times are tried
     * again.
     */
    @Test
    void limitIsLiftedAsObservationsFade() {
        record(100, 0, 0);
        record(5, 130 * US_PER_MS, 1);
        assertThat(limit.allows(130 * US_PER_MS)).isFalse();
        record(20_000, 0, 0);
        assertThat(limit.allows(130 * US_PER_MS)).isTrue();
    }
}
