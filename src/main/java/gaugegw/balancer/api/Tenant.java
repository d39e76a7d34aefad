package gaugegw.balancer.api;

/** A tenant and the requests a second, over all proxies, that its share entitles it to. */
public record Tenant(String name, double quotaPerSecond) {
    public Tenant {
        BalancerSettings.require(name != null && !name.isEmpty(), "tenant name");
        BalancerSettings.require(quotaPerSecond >= 0, "quota of tenant " + name);
    }
}
