package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Requests that are expensive to decode must share a limited part of the time, and delay no others. */
class DecodeWorkLimiterTest {
    private final DecodeWorkLimiter limiter = new DecodeWorkLimiter();

    @Test
    void usualRequestsAreNotDelayed() {
        assertThat(DecodeWorkLimiter.isExpensive(40)).isFalse();
        limiter.readDecoded(20_000, 800, 0);
        assertThat(limiter.untilNextTurnUs(0)).isPositive();
        assertThat(DecodeWorkLimiter.isExpensive(256)).isFalse();
        assertThat(DecodeWorkLimiter.isExpensive(257)).isTrue();
    }

    /** A usual request neither waits nor lets others wait. */
    @Test
    void usualRequestsDelayNoTurn() {
        limiter.readDecoded(256, 256, 0);
        assertThat(limiter.untilNextTurnUs(0)).isZero();
    }

    @Test
    void expensiveRequestsTakeTurns() {
        limiter.readDecoded(800, 500, 0);
        assertThat(limiter.untilNextTurnUs(0)).isEqualTo(4_000);
        limiter.readDecoded(800, 500, 0);
        assertThat(limiter.untilNextTurnUs(0)).isEqualTo(8_000);
        limiter.readDecoded(2_000, 500, 6_000);
        assertThat(limiter.untilNextTurnUs(6_000)).isEqualTo(6_000);
    }

    /** The time in which no expensive request was decoded is not saved up. */
    @Test
    void unusedTimeExpires() {
        limiter.readDecoded(800, 500, 0);
        limiter.readDecoded(800, 500, 1_000_000);
        assertThat(limiter.untilNextTurnUs(1_000_000)).isEqualTo(4_000);
    }

    /** A read that ends within its first part could otherwise be repeated without a limit. */
    @Test
    void aReadWithoutACompletePartTakesTime() {
        limiter.readDecoded(800, 0, 0);
        assertThat(limiter.untilNextTurnUs(0)).isPositive();
    }

    @Test
    void noTurnIsTakenBeforeItIsDue() {
        limiter.readDecoded(800, 500, 0);
        DecodeTurn turn = limiter.add(1_300, DecodeWorkLimiterTest::doNothing);
        assertThat(limiter.pollDue(3_999)).isNull();
        assertThat(limiter.pollDue(4_000)).isSameAs(turn);
        assertThat(limiter.hasWaiting()).isFalse();
    }

    /** Guards against a request in a few hundred chunks that waits behind large reads of others, until it is lost. */
    @Test
    void theRequestThatCostsLeastIsReadFirst() {
        limiter.add(1_600, DecodeWorkLimiterTest::doNothing);
        limiter.add(1_400, DecodeWorkLimiterTest::doNothing);
        DecodeTurn cheap = limiter.add(340, DecodeWorkLimiterTest::doNothing);
        DecodeTurn nextCheap = limiter.add(380, DecodeWorkLimiterTest::doNothing);
        assertThat(limiter.pollDue(0)).isSameAs(cheap);
        assertThat(limiter.pollDue(0)).isSameAs(nextCheap);
        assertThat(limiter.pollDue(0).expectedParts()).isEqualTo(1_400);
    }

    /**
     * Guards against a request in chunks of 10 or 100 bytes that waits, although it is nearly complete, until many
     * others in chunks of one byte that have just begun are read.
     */
    @Test
    void requestIsExpectedToGoOnAsItHasBegun() {
        long beginningInChunksOfOneByte = DecodeWorkLimiter.expectedParts(325, 2_048);
        assertThat(DecodeWorkLimiter.expectedParts(619, 63_700)).isLessThan(beginningInChunksOfOneByte);
        assertThat(DecodeWorkLimiter.expectedParts(6_019, 90_000)).isLessThan(beginningInChunksOfOneByte);
        assertThat(DecodeWorkLimiter.expectedParts(60_019, 360_000)).isGreaterThan(beginningInChunksOfOneByte);
    }

    @Test
    void requestsOfTheSameCostAreReadInTheOrderOfTheirArrival() {
        DecodeTurn first = limiter.add(1_000, DecodeWorkLimiterTest::doNothing);
        DecodeTurn second = limiter.add(1_000, DecodeWorkLimiterTest::doNothing);
        DecodeTurn third = limiter.add(1_000, DecodeWorkLimiterTest::doNothing);
        limiter.remove(second);
        assertThat(limiter.pollDue(0)).isSameAs(first);
        assertThat(limiter.pollDue(0)).isSameAs(third);
        assertThat(limiter.pollDue(0)).isNull();
    }

    private static void doNothing() {}
}
