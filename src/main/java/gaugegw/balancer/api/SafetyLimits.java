package gaugegw.balancer.api;

/**
 * The figures of the rules: a backend starts at {@code coldFrom} of its capacity, is warm after {@code coldUs},
 * and falls over when all proxies send more than {@code fallMultiple} of its capacity for {@code fallUs}.
 * Where {@code fullUnproven}, a backend may answer {@link AttemptOutcome#REJECTED} for work that it had begun.
 */
public record SafetyLimits(
        double initialCapacity,
        long slowStartUs,
        double overloadMultiple,
        long overloadWindowUs,
        long pollIntervalUs,
        boolean rejectedMayHaveExecuted) {
    public SafetyLimits {
        BalancerSettings.require(initialCapacity > 0 && initialCapacity <= 1, "cold from");
        BalancerSettings.require(slowStartUs >= 0, "cold time");
        BalancerSettings.require(overloadMultiple > 0, "fall multiple");
        BalancerSettings.require(overloadWindowUs > 0, "fall time");
        BalancerSettings.require(pollIntervalUs > 0, "ask within");
    }
}
