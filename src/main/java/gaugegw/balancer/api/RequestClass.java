package gaugegw.balancer.api;

/**
 * A class of requests that have the same latency objective, priority and idempotency.
 *
 * @param name the name by which requests refer to the class
 * @param latencyObjectiveUs time within which a request should be answered, in microseconds
 * @param deadlineUs how long a client waits in total, including its own retries, in microseconds
 * @param priorityWeight the priority of a request that is answered within its objective; not negative, without a unit
 * @param lateWeightFraction fraction of the priority weight, from 0 to 1, that a request keeps after its objective
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope which endpoints discard repeats; may be null unless the idempotency is
 *     {@link Idempotency#IDEMPOTENT_WITH_KEY}
 * @param deduplicationWindowUs for how long endpoints discard repeats, from the start of the first attempt that may
 *     have been executed, in microseconds
 */
public record RequestClass(
        String name,
        long latencyObjectiveUs,
        long deadlineUs,
        double priorityWeight,
        double lateWeightFraction,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a component is missing or out of range; the message names the setting as
     *     deployments write it
     */
    public RequestClass {
        BalancerSettings.require(name != null && !name.isEmpty(), "setting 'name' of a profile: missing or empty");
        BalancerSettings.require(
                latencyObjectiveUs > 0,
                "setting 'aim_us' of profile '" + name + "': " + latencyObjectiveUs + ", must be greater than 0");
        BalancerSettings.require(
                deadlineUs > 0,
                "setting 'deadline_us' of profile '" + name + "': " + deadlineUs + ", must be greater than 0");
        BalancerSettings.require(
                priorityWeight >= 0 && Double.isFinite(priorityWeight),
                "setting 'value' of profile '" + name + "': " + priorityWeight + ", must be finite and at least 0");
        BalancerSettings.require(
                lateWeightFraction >= 0 && lateWeightFraction <= 1,
                "setting 'late_worth' of profile '" + name + "': " + lateWeightFraction + ", must be from 0 to 1");
        BalancerSettings.require(idempotency != null, "setting 'effect' of profile '" + name + "': missing");
        BalancerSettings.require(
                idempotency != Idempotency.IDEMPOTENT_WITH_KEY
                        || (deduplicationScope != null && deduplicationWindowUs >= 0),
                "setting of profile '" + name + "': 'key_scope' is missing or 'window_us' is below 0: "
                        + deduplicationWindowUs);
    }
}
