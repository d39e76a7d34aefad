package gaugegw.proxy.upstream;

/**
 * Learns how long a connection may have been idle and still be used. A firewall or a backend may drop an idle
 * connection without a sign; the next request on it is then reset, and the proxy can't prove that it was not executed.
 * Where requests sent after some idle time are reset far more often than those sent after less, no connection is used
 * after such an idle time. Old observations fade, so that longer idle times are tried again. Used on the event loop
 * only.
 */
final class LearnedIdleLimit {
    /** Idle times are counted in buckets; the first holds all below a millisecond. */
    private static final int BUCKETS = 40;
    /** Each bucket ends at about 1.4 times the idle time at which it begins. */
    private static final double BUCKETS_PER_DOUBLING = 2;

    private static final double FIRST_BUCKET_US = 1_000;
    /**
     * The share of resets in a bucket may be this multiple of the share after shorter idle times: less may be chance.
     */
    private static final double MAX_RESET_RATE_MULTIPLE = 2;
    /** The share of resets may be higher by this much: so few resets cost less than new connections do. */
    private static final double MAX_RESET_RATE_INCREASE = 0.05;
    /** Resets in a bucket below which its share says nothing. */
    private static final double MIN_RESETS = 2;
    /** After so many requests all earlier ones count half. */
    private static final int REQUESTS_PER_DECAY = 4_096;

    /** Requests by the bucket of the idle time before them; fractional, as they decay. */
    private final double[] requests = new double[BUCKETS];
    /** How many of these were reset. */
    private final double[] resets = new double[BUCKETS];

    private int recorded;
    /** The first bucket whose idle times are not allowed. */
    private int limitBucket = BUCKETS;

    /** Returns whether a connection that has been idle for so long, in microseconds, may be used. */
    boolean allows(long idleUs) {
        return bucket(idleUs) < limitBucket;
    }

    /**
     * Records whether a request was reset before any response.
     *
     * @param idleUs how long its connection was idle before it, in microseconds; 0 for a new connection
     */
    void record(long idleUs, boolean wasReset) {
        int bucket = bucket(idleUs);
        requests[bucket]++;
        if (wasReset) {
            resets[bucket]++;
        }
        recorded++;
        boolean decays = recorded % REQUESTS_PER_DECAY == 0;
        if (decays) {
            decay();
        }
        if (wasReset || decays) {
            limitBucket = firstUnreliableBucket();
        }
    }

    private void decay() {
        for (int i = 0; i < BUCKETS; i++) {
            requests[i] /= 2;
            resets[i] /= 2;
        }
    }

    private int firstUnreliableBucket() {
        double shorterRequests = 0;
        double shorterResets = 0;
        for (int i = 0; i < BUCKETS; i++) {
            double usualRate = shorterRequests == 0 ? 0 : shorterResets / shorterRequests;
            double maxRate = MAX_RESET_RATE_MULTIPLE * usualRate + MAX_RESET_RATE_INCREASE;
            if (i > 0 && resets[i] >= MIN_RESETS && resets[i] > requests[i] * maxRate) {
                return i;
            }
            shorterRequests += requests[i];
            shorterResets += resets[i];
        }
        return BUCKETS;
    }

    private static int bucket(long idleUs) {
        double doublings = Math.log(Math.max(1, idleUs / FIRST_BUCKET_US)) / Math.log(2);
        return (int) Math.min(BUCKETS - 1, BUCKETS_PER_DOUBLING * doublings);
    }
}
