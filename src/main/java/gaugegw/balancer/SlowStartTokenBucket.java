package gaugegw.balancer;

import gaugegw.balancer.api.Endpoint;

/**
 * The token bucket for the attempts that this proxy may start at one endpoint in slow start. Each attempt takes one
 * token. Unused tokens expire soon: if each of many proxies could save a token, all of them could start an attempt in
 * the same burst.
 */
final class SlowStartTokenBucket {
    /** Fraction of a window's budget that may be used at once. The rest is granted evenly over the window. */
    private static final double BURST_FRACTION = 0.25;
    /**
     * The golden ratio minus 1. The fractional parts of its multiples are spread evenly for any range of consecutive
     * proxy indexes.
     */
    private static final double GOLDEN_FRACTION = (Math.sqrt(5) - 1) / 2;

    /** All tokens granted since the bucket was created. */
    private double granted;
    /** All tokens used or expired since the bucket was created. */
    private double usedOrExpired;

    private long grantedAtUs;

    /**
     * Creates a bucket with a fraction of one token. The fractions are spread evenly over the proxies, so that all
     * proxies together start with about half a token per proxy.
     */
    SlowStartTokenBucket(Endpoint endpoint, int proxyIndex, long nowUs) {
        int hash = HashMixer.mix(endpoint.id().hashCode() ^ Long.hashCode(endpoint.startedAtUs()));
        double phase = hash / (double) (1L << Integer.SIZE) + proxyIndex * GOLDEN_FRACTION;
        granted = phase - Math.floor(phase);
        grantedAtUs = nowUs;
    }

    /**
     * Grants the tokens for the time since the last call and returns the number of whole tokens available.
     *
     * <p>The budget of a window, {@code budgetPerUs * windowUs} tokens, is granted evenly, except for {@link
     * #BURST_FRACTION} of it. How many unused tokens are kept depends on the budget:
     *
     * <ul>
     *   <li>Large budget: the tokens granted in a third of a window, which are {@link #BURST_FRACTION} of the budget.
     *       If they are used at once, they and the tokens granted in the following window add up to the whole budget.
     *   <li>Small budget (less than a third of a token per window): the tokens granted in a whole window. With fewer,
     *       proxies with little traffic would rarely have a whole token. The tokens of two windows, one and a half
     *       times the budget, may then be used within one window. {@link SlowStartBudget} leaves a margin for that.
     * </ul>
     *
     * @param budgetPerUs this proxy's budget, in attempts per microsecond
     * @param windowUs the time over which overload is counted, in microseconds
     */
    double available(double budgetPerUs, long windowUs, long nowUs) {
        granted += (1 - BURST_FRACTION) * budgetPerUs * (nowUs - grantedAtUs);
        grantedAtUs = nowUs;
        double budget = budgetPerUs * windowUs;
        double unexpired = Math.max(BURST_FRACTION * budget, Math.min(BURST_FRACTION, (1 - BURST_FRACTION) * budget));
        usedOrExpired = Math.max(usedOrExpired, Math.floor(granted - unexpired));
        return Math.floor(granted) - usedOrExpired;
    }

    /** Takes a token for an attempt that has started, during slow start or later. */
    void takeToken() {
        usedOrExpired += 1;
    }
}
