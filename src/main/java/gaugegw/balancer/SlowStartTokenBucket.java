package gaugegw.balancer;

import gaugegw.balancer.api.Endpoint;

/**
 * The attempts that this proxy may start at one endpoint in slow start, granted in the course of time. What is not used
 * soon expires: if each of many proxies could save one attempt, all could start theirs in the same burst.
 */
final class SlowStartTokenBucket {
    /** Part of a window's budget that may be used at once; the rest is granted in the course of the window. */
    private static final double BURST_SHARE = 0.25;
    /** Multiples of it, modulo 1, lie evenly for any run of successive proxies. */
    private static final double GOLDEN_FRACTION = (Math.sqrt(5) - 1) / 2;

    private double granted;
    private double usedOrExpired;
    private long grantedAtUs;

    /** Grants a part of the first attempt, evenly spread over the proxies, so that the sum of all is near its mean. */
    SlowStartTokenBucket(Endpoint endpoint, int proxyIndex, long nowUs) {
        int hash = HashMixer.mix(endpoint.id().hashCode() ^ Long.hashCode(endpoint.startedAtUs()));
        double phase = hash / (double) (1L << Integer.SIZE) + proxyIndex * GOLDEN_FRACTION;
        granted = phase - Math.floor(phase);
        grantedAtUs = nowUs;
    }

    /**
     * Grants what is due and returns how many whole attempts may start now.
     *
     * <p>A window's budget is granted evenly, all but {@link #BURST_SHARE} of it. Of a large budget, grants of a third of a
     * window can be saved, which is that share: used at once, they and what is granted in the window are the whole
     * budget. Of a small one (under a third of an attempt a window), a whole window's grants can be saved, or proxies with
     * little traffic would seldom reach one attempt. Two windows' grants, one and a half times the budget, may then be used
     * in one window; the safety margin of {@link SlowStartBudget} allows for that.
     *
     * @param budgetPerUs this proxy's part of the budget, in attempts per microsecond
     * @param windowUs the time over which overload is counted, in microseconds
     */
    double available(double budgetPerUs, long windowUs, long nowUs) {
        granted += (1 - BURST_SHARE) * budgetPerUs * (nowUs - grantedAtUs);
        grantedAtUs = nowUs;
        double budget = budgetPerUs * windowUs;
        double unexpired = Math.max(BURST_SHARE * budget, Math.min(BURST_SHARE, (1 - BURST_SHARE) * budget));
        usedOrExpired = Math.max(usedOrExpired, Math.floor(granted - unexpired));
        return Math.floor(granted) - usedOrExpired;
    }

    /** Takes one attempt that has started, in slow start or after it. */
    void use() {
        usedOrExpired += 1;
    }
}
