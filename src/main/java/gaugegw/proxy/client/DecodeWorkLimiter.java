package gaugegw.proxy.client;

import gaugegw.proxy.http.HttpLimits;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * Limits the share of the event loop's time that goes into decoding expensive requests: those of very many parts, such as
 * a body in chunks of one byte or a head of very many short lines. Without it, a few hundred of them would keep all other
 * clients waiting. A usual request has far fewer than {@link #FREE_PARTS} and is never delayed. The connections whose
 * request has more share {@link #EXPENSIVE_PERCENT} of the time: each waits for its turn, which is one read, and a turn
 * becomes due when the work of the reads before it has been paid for. The work is counted in parts, not in time, so that
 * it does not depend on whether the code is compiled yet.
 *
 * <p>The next turn is that of the request which is expected to have cost the least in the end. So a request does not wait
 * for others that cost more, however many they are. Makes the decisions only: no clock, no I/O. All connections share one
 * limiter. Used on the event loop only.
 */
final class DecodeWorkLimiter {
    /** Number of header lines and parts of the body after which a request counts as expensive. */
    private static final int FREE_PARTS = 256;
    /** The time to decode one part in compiled code, in microseconds, rounded up. */
    private static final long PART_US = 2;
    /** The share of the time that expensive requests get together. */
    private static final int EXPENSIVE_PERCENT = 25;

    private final TreeSet<DecodeTurn> waiting =
            new TreeSet<>(Comparator.comparingLong(DecodeTurn::expectedParts).thenComparingLong(DecodeTurn::sequence));
    private long addedTurns;
    /** When the work that has been done is paid for, on the proxy's clock. */
    private long nextTurnAtUs;

    /** Returns whether a request of a number of parts may be decoded only in turns. */
    static boolean isExpensive(long requestParts) {
        return requestParts > FREE_PARTS;
    }

    /**
     * Returns the number of parts that an incomplete request is expected to have in the end: it may go on for as many
     * bytes as a body may have, with as many parts a byte as before.
     *
     * @param requestParts the number of parts so far
     * @param requestBytes the number of bytes received so far, at least 1
     */
    static long expectedParts(long requestParts, long requestBytes) {
        return requestParts + requestParts * HttpLimits.MAX_BODY_BYTES / requestBytes;
    }

    /**
     * Records the work of a read. Only the parts of a request beyond the free ones delay the next turn.
     *
     * @param requestParts the number of parts of the incomplete request so far, with those of this read
     * @param readParts the number of parts of this read
     * @param nowUs the time on the proxy's clock
     */
    void readDecoded(long requestParts, long readParts, long nowUs) {
        if (!isExpensive(requestParts)) {
            return;
        }
        long paidParts = Math.min(readParts, requestParts - FREE_PARTS);
        // A read that has decoded no part yet has cost something, too.
        long workUs = Math.max(1, paidParts) * PART_US;
        nextTurnAtUs = Math.max(nextTurnAtUs, nowUs) + workUs * 100 / EXPENSIVE_PERCENT;
    }

    /**
     * Adds a connection to those that wait for their turn.
     *
     * @param expectedParts see {@link #expectedParts}
     * @param reader reads the connection when its turn has come
     */
    DecodeTurn add(long expectedParts, Runnable reader) {
        var turn = new DecodeTurn(expectedParts, addedTurns++, reader);
        waiting.add(turn);
        return turn;
    }

    /** Removes a turn that is not needed any more; does nothing if it has been taken. */
    void remove(DecodeTurn turn) {
        waiting.remove(turn);
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Removes and returns the next turn, or returns null if none is due. */
    DecodeTurn pollDue(long nowUs) {
        return nowUs < nextTurnAtUs ? null : waiting.pollFirst();
    }

    /** Returns the time until a turn is due, in microseconds; 0 if that has been reached. */
    long untilNextTurnUs(long nowUs) {
        return Math.max(0, nextTurnAtUs - nowUs);
    }
}
