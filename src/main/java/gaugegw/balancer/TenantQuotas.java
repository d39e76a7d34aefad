package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Tenant;
import java.util.HashMap;
import java.util.Map;

/**
 * Separates requests within their tenant's quota from those over it, which get a lower priority weight: a tenant that
 * sends too much must not take the capacity of the others. Each proxy grants an equal part of the quota, in requests
 * per microsecond. Requests without a known tenant have no quota to exceed.
 */
final class TenantQuotas {
    private static final double MICROS_PER_SECOND = 1e6;

    private final long refreshPeriodUs;
    private final Map<String, Quota> byTenant = new HashMap<>();

    TenantQuotas(BalancerSettings settings, ControlParameters parameters) {
        refreshPeriodUs = parameters.refreshPeriodUs();
        for (Tenant tenant : settings.tenants()) {
            double requestsPerUs = tenant.quotaPerSecond() / MICROS_PER_SECOND / settings.proxyCount();
            byTenant.put(tenant.name(), new Quota(byTenant.size(), requestsPerUs));
        }
    }

    int count() {
        return byTenant.size();
    }

    /** Returns the number of a tenant from 0, or {@link #count()} if it is null or not known. */
    int number(String tenant) {
        Quota quota = byTenant.get(tenant);
        return quota == null ? count() : quota.number;
    }

    /** Counts a request and returns whether it is over quota. A retry uses nothing, as the first attempt has. */
    boolean isOverQuota(String tenant, boolean retry, long nowUs) {
        Quota quota = byTenant.get(tenant);
        return quota != null && !quota.admits(retry, nowUs, refreshPeriodUs);
    }

    /** A tenant's token bucket. It holds up to one refresh period's requests. */
    private static final class Quota {
        private final int number;
        private final double requestsPerUs;
        private double tokens;
        private long refilledAtUs;

        Quota(int number, double requestsPerUs) {
            this.number = number;
            this.requestsPerUs = requestsPerUs;
        }

        boolean admits(boolean retry, long nowUs, long refreshPeriodUs) {
            tokens = Math.min(requestsPerUs * refreshPeriodUs, tokens + requestsPerUs * (nowUs - refilledAtUs));
            refilledAtUs = nowUs;
            if (tokens < 1) {
                return false;
            }
            tokens -= retry ? 0 : 1;
            return true;
        }
    }
}
