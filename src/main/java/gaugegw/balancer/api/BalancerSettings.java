package gaugegw.balancer.api;

import java.util.List;

/**
 * The settings of one instance, fixed for its lifetime.
 *
 * @param proxyCount number of proxies that share the endpoints
 * @param proxyIndex number of this proxy among them, from 0
 * @param zone the zone this proxy runs in
 * @param minEventIntervalUs the least time between two rounds of events, in microseconds
 * @param requestClasses the classes of request, at least one
 * @param tenants the tenants with a quota; may be empty
 * @param overQuotaWeightFraction part of the priority weight, from 0 to 1, of a request over its tenant's quota
 * @param cacheAffinity whether endpoints answer a key that they have cached with less work
 * @param limits what the proxy may do
 * @param safetyLimits the limits that protect endpoints and the endpoint list's timeliness
 * @param seed the seed of all random numbers
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
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if one makes no sense; the message names the setting
     */
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
