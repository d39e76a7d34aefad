package gaugegw.balancer;

import gaugegw.balancer.api.Endpoint;

/**
 * The attempts that this proxy may start at one endpoint in slow start. They are granted in the course of time, and
 * what is not used soon expires: if grants were saved, each of many proxies with a small part of the budget could
 * save one attempt, and all could start theirs in the same burst.
 */
final class SlowStartAllowance {
    /** Part of a window's budget that may be used at once; the rest is granted in the course of the window. */
    private static final double BURST_SHARE = 0.25;
    /** Fraction of the golden ratio: multiples of it, modulo 1, lie evenly for any run of successive proxies. */
    private static final double GOLDEN_FRACTION = (Math.sqrt(5) - 1) / 2;

    private static final double HASH_RANGE = 1L << Integer.SIZE;

    private double granted;
    private double usedOrExpired;
    private long grantedAtUs;

    /**
     * Starts with nothing granted.
     *
     * @param phase the part of the first attempt, from 0 to 1, that counts as granted
     */
    private SlowStartAllowance(double phase, long nowUs) {
        granted = phase;
        grantedAtUs = nowUs;
    }

    /**
     * Returns the allowance of one proxy for an endpoint that it has just learned of. The phases of the proxies lie
     * evenly from 0 to 1, so that the sum over all proxies is near its mean at any time, however small each part.
     */
    static SlowStartAllowance of(Endpoint endpoint, int proxyIndex, long nowUs) {
        int hash = HashMixer.mix(endpoint.id().hashCode() ^ Long.hashCode(endpoint.startedAtUs()));
        double phase = hash / HASH_RANGE + proxyIndex * GOLDEN_FRACTION;
        return new SlowStartAllowance(phase - Math.floor(phase), nowUs);
    }

    /**
     * Grants what is due since the last call and returns how many attempts, a whole number, may start now. What was
     * granted and not used expires: a large part of the budget after a third of the window, so that no window holds
     * more than the budget; a small part after a window, or proxies with little traffic would seldom use any. Then a
     * window holds up to one and a half times the budget, for which the safety margin of {@link SlowStartBudget}
     * leaves room.
     *
     * @param budgetPerUs this proxy's part of the budget, in attempts per microsecond
     * @param windowUs the window over which the endpoint's overload is counted, in microseconds
     */
    double available(double budgetPerUs, long windowUs, long nowUs) {
        granted += (1 - BURST_SHARE) * budgetPerUs * (nowUs - grantedAtUs);
        grantedAtUs = nowUs;
        double budget = budgetPerUs * windowUs;
        double unexpired = Math.max(BURST_SHARE * budget, Math.min(BURST_SHARE, (1 - BURST_SHARE) * budget));
        usedOrExpired = Math.max(usedOrExpired, Math.floor(granted - unexpired));
        return Math.floor(granted) - usedOrExpired;
    }

    /** Counts one attempt started at the endpoint. */
    void use() {
        usedOrExpired += 1;
    }
}
