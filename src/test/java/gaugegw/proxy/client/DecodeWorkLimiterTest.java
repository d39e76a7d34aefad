package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Requests that are expensive to decode must share a limited part of the time, and delay no others. */
class DecodeWorkLimiterTest {
    private final DecodeWorkLimiter limiter = new DecodeWorkLimiter();

    @Test
    void usualRequestsAreNotDelayed() {
        assertThat(limiter.delayUs(40, 20, 0)).isZero();
        assertThat(limiter.delayUs(20_000, 800, 0)).isPositive();
        assertThat(limiter.delayUs(256, 20, 10)).isZero();
    }

    @Test
    void expensiveRequestsTakeTurns() {
        assertThat(limiter.delayUs(800, 500, 0)).isEqualTo(4_000);
        assertThat(limiter.delayUs(800, 500, 0)).isEqualTo(8_000);
        assertThat(limiter.delayUs(2_000, 500, 6_000)).isEqualTo(6_000);
    }

    /** The time in which no expensive request was decoded is not saved up. */
    @Test
    void unusedTimeExpires() {
        limiter.delayUs(800, 500, 0);
        assertThat(limiter.delayUs(800, 500, 1_000_000)).isEqualTo(4_000);
    }
}
