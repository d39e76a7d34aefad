package gaugegw.balancer.api;

/**
 * The limits that keep endpoints from failing by overload after a start, and the endpoint list from being out of date.
 *
 * @param initialCapacityFraction the part of its capacity, from 0 to 1, that an endpoint has at its start at least
 * @param slowStartUs time after which it has its full capacity, in microseconds
 * @param overloadMultiple an endpoint that has not reached its full capacity fails when it receives more than this
 *     multiple of its present capacity, from all proxies together
 * @param overloadWindowUs the time over which that is counted, in microseconds
 * @param pollIntervalUs the longest time without a poll where there is no watch of the endpoint list, in microseconds
 * @param rejectedMayHaveExecuted whether an endpoint may answer {@link AttemptOutcome#REJECTED} to work that it had begun
 */
public record SafetyLimits(
        double initialCapacityFraction,
        long slowStartUs,
        double overloadMultiple,
        long overloadWindowUs,
        long pollIntervalUs,
        boolean rejectedMayHaveExecuted) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if one makes no sense; the message names the setting
     */
    public SafetyLimits {
        BalancerSettings.require(initialCapacityFraction > 0 && initialCapacityFraction <= 1, "cold from");
        BalancerSettings.require(slowStartUs >= 0, "cold time");
        BalancerSettings.require(overloadMultiple > 0, "fall multiple");
        BalancerSettings.require(overloadWindowUs > 0, "fall time");
        BalancerSettings.require(pollIntervalUs > 0, "ask within");
    }
}
