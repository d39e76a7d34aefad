package gaugegw.balancer.testing;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Limits;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;
import gaugegw.balancer.api.Tenant;
import java.util.List;

/** Builds settings from the defaults of {@link TestSettings#settings()}. */
public final class BalancerSettingsBuilder {
    private int proxyCount = 1;
    private int proxyIndex;
    private String zone = "a";
    private long minEventIntervalUs = 4 * TestSettings.MILLIS;
    private List<RequestClass> requestClasses =
            List.of(TestSettings.READ, TestSettings.PAY, TestSettings.BOOK, TestSettings.NOTE, TestSettings.VOTE);
    private List<Tenant> tenants = List.of();
    private double overQuotaWeightFraction = 0.05;
    private boolean cacheAffinity;
    private Limits limits = TestSettings.LIMITS;
    private SafetyLimits safetyLimits = TestSettings.SAFETY_LIMITS;
    private long seed = 7;

    BalancerSettingsBuilder() {}

    /** Sets the index of this proxy, from 0, and the number of proxies. */
    public BalancerSettingsBuilder proxy(int index, int count) {
        proxyIndex = index;
        proxyCount = count;
        return this;
    }

    public BalancerSettingsBuilder zone(String value) {
        zone = value;
        return this;
    }

    public BalancerSettingsBuilder minEventIntervalUs(long value) {
        minEventIntervalUs = value;
        return this;
    }

    public BalancerSettingsBuilder requestClasses(RequestClass... value) {
        return requestClasses(List.of(value));
    }

    public BalancerSettingsBuilder requestClasses(List<RequestClass> value) {
        requestClasses = value;
        return this;
    }

    public BalancerSettingsBuilder tenants(Tenant... value) {
        tenants = List.of(value);
        return this;
    }

    public BalancerSettingsBuilder overQuotaWeightFraction(double value) {
        overQuotaWeightFraction = value;
        return this;
    }

    public BalancerSettingsBuilder cacheAffinity(boolean value) {
        cacheAffinity = value;
        return this;
    }

    public BalancerSettingsBuilder limits(Limits value) {
        limits = value;
        return this;
    }

    public BalancerSettingsBuilder safetyLimits(SafetyLimits value) {
        safetyLimits = value;
        return this;
    }

    public BalancerSettingsBuilder seed(long value) {
        seed = value;
        return this;
    }

    public BalancerSettings build() {
        return new BalancerSettings(
                proxyCount,
                proxyIndex,
                zone,
                minEventIntervalUs,
                requestClasses,
                tenants,
                overQuotaWeightFraction,
                cacheAffinity,
                limits,
                safetyLimits,
                seed);
    }
}
