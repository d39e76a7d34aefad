package gaugegw.settings;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.Limits;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;
import gaugegw.balancer.api.Tenant;
import java.util.List;
import java.util.Map;

/**
 * Converts settings from the names and values that deployments write into the settings of a load balancer. The
 * simulator and the configuration of a proxy use the same names and values.
 *
 * <p>All methods throw {@link InvalidSettingException} if a setting is missing or its value is of the wrong type, and
 * another {@link IllegalArgumentException} if its value is out of range. Both messages name the setting.
 */
public final class SettingsReader {
    private static final Map<String, Idempotency> IDEMPOTENCY = Map.of(
            "idempotent", Idempotency.IDEMPOTENT,
            "deduplicated", Idempotency.IDEMPOTENT_WITH_KEY,
            "at_most_once", Idempotency.NOT_IDEMPOTENT);

    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES = Map.of(
            "all", DeduplicationScope.ALL,
            "zone", DeduplicationScope.ZONE,
            "cell", DeduplicationScope.CELL);

    /** By the mode of discovery, whether updates of the endpoint list arrive only on request. */
    private static final Map<String, Boolean> DISCOVERY_MODES = Map.of("pushed", false, "on_request", true);

    private SettingsReader() {}

    /**
     * Reads the settings of a load balancer.
     *
     * @param seed the seed of the load balancer's random numbers
     */
    public static BalancerSettings read(SettingsTree settings, long seed) {
        List<RequestClass> requestClasses = settings.items(SettingNames.REQUEST_CLASSES, SettingsReader::requestClass);
        List<Tenant> tenants = settings.itemsIfPresent(SettingNames.TENANTS, SettingsReader::tenant);
        Limits limits = limits(settings);
        SafetyLimits safetyLimits = safetyLimits(settings);
        return new BalancerSettings(
                settings.intValue(SettingNames.PROXY_COUNT),
                settings.intValue(SettingNames.PROXY_INDEX),
                settings.text(SettingNames.ZONE),
                settings.longValue(SettingNames.MIN_EVENT_INTERVAL_US),
                requestClasses,
                tenants,
                tenants.isEmpty() ? 1 : settings.doubleValue(SettingNames.OVER_QUOTA_WEIGHT_FRACTION),
                settings.booleanValueOr(SettingNames.CACHE_AFFINITY, false),
                limits,
                safetyLimits,
                seed);
    }

    /** Reads the time after which a backend closes an idle connection, in microseconds. */
    public static long backendIdleTimeoutUs(SettingsTree settings) {
        return settings.longValue(SettingNames.BACKEND_IDLE_TIMEOUT_US);
    }

    /** Reads the longest time that establishing a connection may take, in microseconds. */
    public static long connectTimeoutUs(SettingsTree settings) {
        return settings.longValue(SettingNames.CONNECT_TIMEOUT_US);
    }

    private static RequestClass requestClass(SettingsTree item) {
        Idempotency idempotency = item.oneOf(SettingNames.IDEMPOTENCY, IDEMPOTENCY);
        boolean deduplicated = idempotency == Idempotency.IDEMPOTENT_WITH_KEY;
        return new RequestClass(
                item.text(SettingNames.CLASS_NAME),
                item.longValue(SettingNames.LATENCY_OBJECTIVE_US),
                item.longValue(SettingNames.DEADLINE_US),
                item.doubleValue(SettingNames.PRIORITY_WEIGHT),
                item.doubleValue(SettingNames.LATE_WEIGHT_FRACTION),
                idempotency,
                deduplicated
                        ? item.oneOf(SettingNames.DEDUPLICATION_SCOPE, DEDUPLICATION_SCOPES)
                        : DeduplicationScope.ALL,
                deduplicated ? item.longValue(SettingNames.DEDUPLICATION_WINDOW_US) : 0);
    }

    private static Tenant tenant(SettingsTree item) {
        return new Tenant(item.text(SettingNames.TENANT_NAME), item.doubleValue(SettingNames.QUOTA_PER_SECOND));
    }

    private static Limits limits(SettingsTree settings) {
        return new Limits(
                settings.booleanValue(SettingNames.CANCELLATION),
                settings.booleanValue(SettingNames.HEDGING),
                settings.booleanValue(SettingNames.HEALTH_CHECKS),
                settings.oneOf(SettingNames.DISCOVERY_MODE, DISCOVERY_MODES),
                settings.intValue(SettingNames.MAX_ATTEMPTS),
                maxRetryAfterUs(settings),
                settings.longValue(SettingNames.CONNECT_TIMEOUT_US));
    }

    /** Returns the longest Retry-After in microseconds, or 0 if a rejection must not carry one. */
    private static long maxRetryAfterUs(SettingsTree settings) {
        boolean allowed = settings.booleanValueOr(SettingNames.RETRY_AFTER, true);
        return allowed ? settings.longValue(SettingNames.MAX_RETRY_AFTER_US) : 0;
    }

    private static SafetyLimits safetyLimits(SettingsTree settings) {
        return new SafetyLimits(
                settings.doubleValue(SettingNames.INITIAL_CAPACITY),
                settings.longValue(SettingNames.SLOW_START_US),
                settings.doubleValue(SettingNames.OVERLOAD_MULTIPLE),
                settings.longValue(SettingNames.OVERLOAD_WINDOW_US),
                settings.longValue(SettingNames.POLL_INTERVAL_US),
                settings.booleanValueOr(SettingNames.REJECTED_MAY_HAVE_EXECUTED, false));
    }
}
