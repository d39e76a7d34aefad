package gaugegw.balancer.api;

/**
 * A class of requests.
 *
 * @param name the class's name, as requests carry it
 * @param latencyObjectiveUs time within which a request is to be answered, in microseconds
 * @param deadlineUs how long a client waits in all, over its own retries, in microseconds
 * @param priorityWeight the priority of a request that is answered within its objective; not negative, without a unit
 * @param lateWeightFraction part of that weight, from 0 to 1, that an answer after the objective still has
 * @param idempotency whether a request may be executed again
 * @param deduplicationScope which endpoints discard repeats; may be null unless idempotent with a key
 * @param deduplicationWindowUs how long they do, from the start of the first attempt that may have executed, in
 *     microseconds
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
     * @throws IllegalArgumentException if one makes no sense; the message names the setting
     */
    public RequestClass {
        BalancerSettings.require(name != null && !name.isEmpty(), "class name");
        BalancerSettings.require(latencyObjectiveUs > 0, "aim of class " + name);
        BalancerSettings.require(deadlineUs > 0, "deadline of class " + name);
        BalancerSettings.require(priorityWeight >= 0 && Double.isFinite(priorityWeight), "worth of class " + name);
        BalancerSettings.require(lateWeightFraction >= 0 && lateWeightFraction <= 1, "late worth of class " + name);
        BalancerSettings.require(idempotency != null, "effect of class " + name);
        BalancerSettings.require(
                idempotency != Idempotency.IDEMPOTENT_WITH_KEY
                        || (deduplicationScope != null && deduplicationWindowUs >= 0),
                "scope and window of class " + name);
    }
}
