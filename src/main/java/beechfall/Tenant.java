package beechfall;

/** A tenant and the requests a second, over all proxies, that its share entitles it to. */
public record Tenant(String name, double quotaPerS) {
    public Tenant {
        Settings.require(name != null && !name.isEmpty(), "tenant name");
        Settings.require(quotaPerS >= 0, "quota of tenant " + name);
    }
}
