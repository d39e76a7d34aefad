package gaugegw.proxy.upstream;

/**
 * How long a connection to a backend may have stood idle and still be worth a request. Whatever the settings say, what
 * lies behind it may have forgotten it without a sign; the next request on it is then reset, and may have run for all
 * that the proxy can prove. So it is learned from what becomes of requests: where those sent after some idle time are
 * reset far more often than those sent sooner, no connection is kept for so long. What was seen fades, and is tried anew.
 */
final class LearnedIdleLimit {
    /** Idle times are told apart by steps of a factor of about 1.4, from a millisecond on. */
    private static final int STEPS = 40;

    private static final double STEPS_PER_DOUBLING = 2;
    /** Resets may be this many times as common as sooner, and this much more: less is chance, or costs no more than a connect. */
    private static final double TIMES = 2;

    private static final double MORE = 0.05;
    private static final double LEAST_RESETS = 2;
    /** After so many requests, what was seen counts half. */
    private static final int MEMORY = 4_096;

    private final double[] sent = new double[STEPS];
    private final double[] reset = new double[STEPS];
    private int count;
    private int limit = STEPS;

    boolean allows(long idleUs) {
        return step(idleUs) < limit;
    }

    /** Takes in what became of a request; {@code idleUs} is 0 on a new connection. */
    void learn(long idleUs, boolean wasReset) {
        int step = step(idleUs);
        sent[step]++;
        reset[step] += wasReset ? 1 : 0;
        if (++count % MEMORY == 0) {
            for (int i = 0; i < STEPS; i++) {
                sent[i] /= 2;
                reset[i] /= 2;
            }
        }
        if (wasReset || count % MEMORY == 0) {
            limit = limit();
        }
    }

    private int limit() {
        double sooner = 0;
        double resetSooner = 0;
        for (int i = 0; i < STEPS; i++) {
            double usual = sooner == 0 ? 0 : resetSooner / sooner;
            if (i > 0 && reset[i] >= LEAST_RESETS && reset[i] > sent[i] * (TIMES * usual + MORE)) {
                return i;
            }
            sooner += sent[i];
            resetSooner += reset[i];
        }
        return STEPS;
    }

    private static int step(long idleUs) {
        double doublings = Math.log(Math.max(1, idleUs / 1e3)) / Math.log(2);
        return (int) Math.min(STEPS - 1, STEPS_PER_DOUBLING * doublings);
    }
}
