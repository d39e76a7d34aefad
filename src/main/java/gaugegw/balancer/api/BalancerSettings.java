package gaugegw.balancer.api;

import java.util.List;

/**
 * The settings of one load balancer. They do not change during its lifetime.
 *
 * @param proxyCount number of proxies that share the endpoints
 * @param proxyIndex index of this proxy among them, from 0
 * @param zone the zone that this proxy runs in
 * @param minEventIntervalUs the shortest time between two rounds of events, in microseconds
 * @param requestClasses the request classes, at least one
 * @param tenants the tenants that have a quota; may be empty
 * @param overQuotaWeightFraction fraction of its priority weight, from 0 to 1, that a request over quota keeps
 * @param cacheAffinity whether a request takes less work at an endpoint that has its key cached
 * @param limits what the proxy is permitted to do
 * @param safetyLimits limits that protect endpoints that have just started, and keep the endpoint list up to date
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
     * @throws IllegalArgumentException if a component is missing or out of range; the message names the setting as
     *     deployments write it
     */
    public BalancerSettings {
        require(proxyCount >= 1, "setting 'balancers': " + proxyCount + ", must be at least 1");
        require(proxyIndex >= 0, "setting 'rank': " + proxyIndex + ", must be at least 0");
        require(zone != null, "setting 'locality': missing");
        require(minEventIntervalUs >= 0, "setting 'quantum_us': " + minEventIntervalUs + ", must be at least 0");
        require(requestClasses != null && !requestClasses.isEmpty(), "setting 'profiles': must have at least one item");
        require(tenants != null, "setting 'projects': must be a list, which may be empty");
        require(
                overQuotaWeightFraction >= 0 && overQuotaWeightFraction <= 1,
                "setting 'over_share_worth': " + overQuotaWeightFraction + ", must be from 0 to 1");
        require(limits != null, "setting 'bounds': missing");
        require(safetyLimits != null, "setting 'invariants': missing");
        requestClasses = List.copyOf(requestClasses);
        tenants = List.copyOf(tenants);
    }

    /**
     * Throws if a component is not valid.
     *
     * @param problem which setting or other value is wrong and what it must be; follows "invalid" in the message
     */
    static void require(boolean valid, String problem) {
        if (!valid) {
            throw new IllegalArgumentException("invalid " + problem);
        }
    }
}
