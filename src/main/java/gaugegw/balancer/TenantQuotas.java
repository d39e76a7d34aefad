package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Tenant;
import java.util.HashMap;
import java.util.Map;

/**
 * Determines which requests are over their tenant's quota. These get a lower priority weight, so that a tenant that
 * sends too much does not take capacity from the others. Each proxy grants an equal part of the quota. A request
 * without a tenant, or of a tenant that is not in the settings, is never over quota.
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

    int tenantCount() {
        return byTenant.size();
    }

    /**
     * Returns the index of a tenant, from 0, or {@link #tenantCount()} if the tenant is null or not in the settings.
     */
    int tenantIndex(String tenant) {
        Quota quota = byTenant.get(tenant);
        return quota == null ? tenantCount() : quota.tenantIndex;
    }

    /**
     * Returns whether a request is over quota, and counts it. A retry is not counted, as the first request has been.
     */
    boolean isOverQuota(String tenant, boolean retry, long nowUs) {
        Quota quota = byTenant.get(tenant);
        return quota != null && !quota.admits(retry, nowUs, refreshPeriodUs);
    }

    /** The token bucket of a tenant. It holds at most the quota of one refresh period. */
    private static final class Quota {
        private final int tenantIndex;
        private final double requestsPerUs;
        private double tokens;
        private long refilledAtUs;

        Quota(int tenantIndex, double requestsPerUs) {
            this.tenantIndex = tenantIndex;
            this.requestsPerUs = requestsPerUs;
        }

        /** Returns whether a request is within the quota, and takes a token for it unless it is a retry. */
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
