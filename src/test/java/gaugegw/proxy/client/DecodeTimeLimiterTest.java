package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Requests that are expensive to decode must share a limited part of the time, and delay no others. */
class DecodeTimeLimiterTest {
    private final DecodeTimeLimiter limiter = new DecodeTimeLimiter();

    @Test
    void usualRequestsAreNotDelayed() {
        assertThat(limiter.delayUs(100, 100, 0)).isZero();
        limiter.delayUs(50_000, 500, 0);
        assertThat(limiter.delayUs(500, 100, 10)).isZero();
    }

    @Test
    void expensiveRequestsTakeTurns() {
        assertThat(limiter.delayUs(1_500, 500, 0)).isEqualTo(2_000);
        assertThat(limiter.delayUs(1_500, 500, 0)).isEqualTo(4_000);
        assertThat(limiter.delayUs(2_000, 500, 3_000)).isEqualTo(3_000);
    }

    /** The time in which no expensive request was decoded is not saved up. */
    @Test
    void unusedTimeExpires() {
        limiter.delayUs(1_500, 500, 0);
        assertThat(limiter.delayUs(1_500, 500, 1_000_000)).isEqualTo(2_000);
    }

    /** One read that took long because the process was held up must not delay its connection for seconds. */
    @Test
    void oneReadCountsForALimitedTime() {
        assertThat(limiter.delayUs(1_000_000, 1_000_000, 0)).isEqualTo(8_000);
    }
}
