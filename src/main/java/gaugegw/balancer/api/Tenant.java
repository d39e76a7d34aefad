package gaugegw.balancer.api;

/**
 * A tenant and its quota.
 *
 * @param name the name by which requests refer to the tenant
 * @param quotaPerSecond its quota in requests per second, for all proxies together
 */
public record Tenant(String name, double quotaPerSecond) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a component is missing or out of range; the message names the setting as
     *     deployments write it
     */
    public Tenant {
        BalancerSettings.require(name != null && !name.isEmpty(), "setting 'name' of a project: missing or empty");
        BalancerSettings.require(
                quotaPerSecond >= 0,
                "setting 'allowance_per_s' of project '" + name + "': " + quotaPerSecond + ", must be at least 0");
    }
}
