package gaugegw.balancer.api;

import java.util.List;

/**
 * All that an instance is told at its start. {@code rank} is its number among the balancers, from 0.
 * {@code tickUs} is the least time between two rounds of events.
 */
public record BalancerSettings(
        int proxyCount,
        int proxyIndex,
        String zone,
        long minEventIntervalUs,
        List<RequestClass> requestClasses,
        List<Tenant> tenants,
        double overQuotaWeightFraction,
        boolean cacheAffinity,
        Limits limits,
        SafetyLimits safetyLimits,
        long seed) {
    public BalancerSettings {
        require(proxyCount >= 1, "balancers");
        require(proxyIndex >= 0, "rank");
        require(zone != null, "zone");
        require(minEventIntervalUs >= 0, "tick");
        require(requestClasses != null && !requestClasses.isEmpty(), "classes");
        require(tenants != null, "tenants");
        require(overQuotaWeightFraction >= 0 && overQuotaWeightFraction <= 1, "over-share worth");
        require(limits != null, "limits");
        require(safetyLimits != null, "rules");
        requestClasses = List.copyOf(requestClasses);
        tenants = List.copyOf(tenants);
    }

    static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("invalid setting: " + setting);
        }
    }
}
