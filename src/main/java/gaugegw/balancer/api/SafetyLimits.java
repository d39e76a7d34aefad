package gaugegw.balancer.api;

/**
 * Limits that protect endpoints from overload during slow start, keep the endpoint list up to date, and prevent
 * duplicate execution.
 *
 * @param initialCapacityFraction the fraction of its full capacity that an endpoint has at least when it starts;
 *     greater than 0, at most 1
 * @param slowStartUs the duration of slow start, in microseconds; at its end, an endpoint has its full capacity
 * @param overloadMultiple an endpoint in slow start fails if all proxies together start more attempts there within an
 *     overload window than this multiple of what it can serve in that time at its current capacity
 * @param overloadWindowUs the length of an overload window, in microseconds
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
     * @throws IllegalArgumentException if a component is out of range; the message names the setting as it is written
     *     in the configuration
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

    /**
     * Returns whether the endpoint may have executed an attempt that has ended. A rejection proves that it has not,
     * unless endpoints may reject requests that they have already begun to execute.
     */
    public boolean mayHaveExecuted(AttemptOutcome outcome) {
        return !outcome.provesNotExecuted() || (outcome == AttemptOutcome.REJECTED && rejectedMayHaveExecuted);
    }
}
