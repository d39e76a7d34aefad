package gaugegw.balancer.api;

/**
 * Limits that protect endpoints from overload after they have started, and keep the endpoint list up to date.
 *
 * @param initialCapacityFraction the least fraction of its full capacity that an endpoint has when it starts, up to 1
 * @param slowStartUs time from its start after which an endpoint has its full capacity, in microseconds
 * @param overloadMultiple an endpoint below its full capacity fails if all proxies together send it more than this
 *     multiple of its current capacity
 * @param overloadWindowUs the time over which the attempts at that endpoint are counted, in microseconds
 * @param pollIntervalUs the longest time between polls of the endpoint list while it is not watched, in microseconds
 * @param rejectedMayHaveExecuted whether {@link AttemptOutcome#REJECTED} may come from an endpoint that has already
 *     begun to execute the request
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
     * @throws IllegalArgumentException if a component is out of range; the message names the setting as deployments
     *     write it
     */
    public SafetyLimits {
        BalancerSettings.require(
                initialCapacityFraction > 0 && initialCapacityFraction <= 1,
                "setting 'invariants.cold_from': " + initialCapacityFraction
                        + ", must be greater than 0 and at most 1");
        BalancerSettings.require(
                slowStartUs >= 0, "setting 'invariants.cold_us': " + slowStartUs + ", must be at least 0");
        BalancerSettings.require(
                overloadMultiple > 0,
                "setting 'invariants.fall_multiple': " + overloadMultiple + ", must be greater than 0");
        BalancerSettings.require(
                overloadWindowUs > 0, "setting 'invariants.fall_us': " + overloadWindowUs + ", must be greater than 0");
        BalancerSettings.require(
                pollIntervalUs > 0,
                "setting 'invariants.must_ask_in_us': " + pollIntervalUs + ", must be greater than 0");
    }
}
