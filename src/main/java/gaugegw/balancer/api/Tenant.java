package gaugegw.balancer.api;

/**
 * A tenant.
 *
 * @param name the tenant's name, as requests carry it
 * @param quotaPerSecond its quota in requests per second, over all proxies
 */
public record Tenant(String name, double quotaPerSecond) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if one makes no sense; the message names the setting
     */
    public Tenant {
        BalancerSettings.require(name != null && !name.isEmpty(), "tenant name");
        BalancerSettings.require(quotaPerSecond >= 0, "quota of tenant " + name);
    }
}
