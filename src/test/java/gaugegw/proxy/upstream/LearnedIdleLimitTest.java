package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class LearnedIdleLimitTest {
    private static final long MS = 1_000;

    private final LearnedIdleLimit limit = new LearnedIdleLimit();
    private final Random random = new Random(1);

    private void send(int times, long idleUs, double resets) {
        for (int i = 0; i < times; i++) {
            limit.record(idleUs, random.nextDouble() < resets);
        }
    }

    @Test
    void staysBelowTheIdleTimeAfterWhichRequestsAreReset() {
        for (int round = 0; round < 40; round++) {
            send(10, 0, 0.05);
            send(30, 20 * MS, 0.05);
            send(3, 80 * MS, 0.05);
            if (limit.allows(130 * MS)) {
                send(1, 130 * MS, 0.4);
            }
        }
        assertThat(limit.allows(130 * MS)).isFalse();
        assertThat(limit.allows(30_000 * MS)).isFalse();
        assertThat(limit.allows(80 * MS)).isTrue();
    }

    @Test
    void resetsThatComeHoweverLongAConnectionWasIdleTellNothing() {
        for (int round = 0; round < 100; round++) {
            send(10, 0, 0.05);
            send(30, 20 * MS, 0.05);
            send(3, 130 * MS, 0.05);
        }
        assertThat(limit.allows(130 * MS)).isTrue();
    }

    @Test
    void whatWasSeenFades() {
        send(100, 0, 0);
        send(5, 130 * MS, 1);
        assertThat(limit.allows(130 * MS)).isFalse();
        send(20_000, 0, 0);
        assertThat(limit.allows(130 * MS)).isTrue();
    }
}
