package gaugegw.balancer.api;

/** A request class: an answer within {@code aimUs} earns {@code worth}, a later one that part of it. */
public record RequestClass(
        String name,
        long latencyObjectiveUs,
        long deadlineUs,
        double priorityWeight,
        double lateWeightFraction,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs) {
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
