package gaugegw.settings;

/**
 * The names of settings as deployments write them. Each constant is named by the term that the code uses for the
 * setting. Apart from this class, these names appear only in the messages of the checks in {@code
 * gaugegw.balancer.api}. Durations are in microseconds.
 */
final class SettingNames {
    // The proxy and the fleet that it belongs to.
    static final String PROXY_COUNT = "balancers";
    static final String PROXY_INDEX = "rank";
    static final String ZONE = "locality";
    static final String MIN_EVENT_INTERVAL_US = "quantum_us";
    static final String DISCOVERY_MODE = "registry_mode";
    static final String CACHE_AFFINITY = "extra.warm_keys";

    // The list of request classes, and the names of an item.
    static final String REQUEST_CLASSES = "profiles";
    static final String CLASS_NAME = "name";
    static final String LATENCY_OBJECTIVE_US = "aim_us";
    static final String DEADLINE_US = "deadline_us";
    static final String PRIORITY_WEIGHT = "value";
    static final String LATE_WEIGHT_FRACTION = "late_worth";
    static final String IDEMPOTENCY = "effect";
    static final String DEDUPLICATION_SCOPE = "key_scope";
    static final String DEDUPLICATION_WINDOW_US = "window_us";

    // The list of tenants, which may be missing; the names of an item; and a factor that applies to all tenants.
    static final String TENANTS = "projects";
    static final String TENANT_NAME = "name";
    static final String QUOTA_PER_SECOND = "allowance_per_s";
    static final String OVER_QUOTA_WEIGHT_FRACTION = "over_share_worth";

    // What the proxy is permitted to do.
    static final String CANCELLATION = "bounds.cancel";
    static final String HEDGING = "bounds.may_duplicate";
    static final String HEALTH_CHECKS = "bounds.probes";
    static final String MAX_ATTEMPTS = "bounds.most_tries";
    static final String RETRY_AFTER = "bounds.retry_after";
    static final String MAX_RETRY_AFTER_US = "bounds.max_retry_after_us";
    static final String CONNECT_TIMEOUT_US = "bounds.connect_timeout_us";
    static final String BACKEND_IDLE_TIMEOUT_US = "bounds.conn_idle_us";

    // Limits that protect endpoints and keep the endpoint list up to date.
    static final String INITIAL_CAPACITY = "invariants.cold_from";
    static final String SLOW_START_US = "invariants.cold_us";
    static final String OVERLOAD_MULTIPLE = "invariants.fall_multiple";
    static final String OVERLOAD_WINDOW_US = "invariants.fall_us";
    static final String POLL_INTERVAL_US = "invariants.must_ask_in_us";
    static final String REJECTED_MAY_HAVE_EXECUTED = "invariants.full_unproven";

    private SettingNames() {}
}
