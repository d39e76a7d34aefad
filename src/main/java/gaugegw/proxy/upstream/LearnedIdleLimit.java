package gaugegw.proxy.upstream;

/**
 * Learns from resets how long a connection to a backend may be idle and still be reused. A firewall or a backend may
 * silently drop an idle connection. The next request on it is then reset, and the proxy can't prove that the backend
 * did not execute that request. If requests sent after a certain idle time are reset much more often than requests sent
 * after shorter idle times, connections that have been idle for that long, or longer, are no longer reused. The weight
 * of past requests decays, so that longer idle times are eventually tried again. Used on the event loop only.
 */
final class LearnedIdleLimit {
    /** Number of buckets that idle times are sorted into; the last one has no upper bound. */
    private static final int BUCKET_COUNT = 40;
    /** The scale is logarithmic: with two buckets per doubling, each ends at about 1.4 times its start. */
    private static final double BUCKETS_PER_DOUBLING = 2;

    /** Start of the logarithmic scale, in microseconds; shorter idle times belong to the first bucket too. */
    private static final double SCALE_START_US = 1_000;
    /**
     * A bucket's idle times are avoided if its reset rate exceeds {@code MAX_RESET_RATE_MULTIPLE} times the reset rate
     * after shorter idle times plus {@link #MAX_RESET_RATE_INCREASE}. A smaller multiple may be chance.
     */
    private static final double MAX_RESET_RATE_MULTIPLE = 2;
    /** An additional reset rate that is accepted, because so few resets cost less than opening new connections. */
    private static final double MAX_RESET_RATE_INCREASE = 0.05;
    /** With fewer resets than this in a bucket, its reset rate is not significant and is ignored. */
    private static final double MIN_RESETS = 2;
    /** Number of recorded requests after which all counts are halved. */
    private static final int REQUESTS_PER_DECAY = 4_096;

    /** Number of requests by the bucket of the idle time that preceded them; fractional because of the decay. */
    private final double[] requests = new double[BUCKET_COUNT];
    /** Number of these requests that were reset; fractional because of the decay. */
    private final double[] resets = new double[BUCKET_COUNT];

    private int recordedRequests;
    /** The first bucket whose idle times are too long for reuse; {@link #BUCKET_COUNT} if there is none. */
    private int limitBucket = BUCKET_COUNT;

    /** Returns whether a connection may be reused after it has been idle for {@code idleUs} microseconds. */
    boolean allows(long idleUs) {
        return bucket(idleUs) < limitBucket;
    }

    /**
     * Records a request and whether it was reset.
     *
     * @param idleUs how long the connection was idle before the request, in microseconds; 0 for a new connection
     * @param wasReset whether the connection was closed or reset from the other side before any byte of a response
     */
    void record(long idleUs, boolean wasReset) {
        int bucket = bucket(idleUs);
        requests[bucket]++;
        if (wasReset) {
            resets[bucket]++;
        }
        recordedRequests++;
        boolean decays = recordedRequests % REQUESTS_PER_DECAY == 0;
        if (decays) {
            decay();
        }
        if (wasReset || decays) {
            limitBucket = firstUnreliableBucket();
        }
    }

    private void decay() {
        for (int i = 0; i < BUCKET_COUNT; i++) {
            requests[i] /= 2;
            resets[i] /= 2;
        }
    }

    /** Returns the first bucket whose reset rate is too high, or {@link #BUCKET_COUNT} if there is none. */
    private int firstUnreliableBucket() {
        double shorterRequests = 0;
        double shorterResets = 0;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            double usualRate = shorterRequests == 0 ? 0 : shorterResets / shorterRequests;
            double maxRate = MAX_RESET_RATE_MULTIPLE * usualRate + MAX_RESET_RATE_INCREASE;
            if (i > 0 && resets[i] >= MIN_RESETS && resets[i] > requests[i] * maxRate) {
                return i;
            }
            shorterRequests += requests[i];
            shorterResets += resets[i];
        }
        return BUCKET_COUNT;
    }

    private static int bucket(long idleUs) {
        double doublings = Math.log(Math.max(1, idleUs / SCALE_START_US)) / Math.log(2);
        return (int) Math.min(BUCKET_COUNT - 1, BUCKETS_PER_DOUBLING * doublings);
    }
}
