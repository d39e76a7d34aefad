package gaugegw.simulator.workload;

import java.util.List;

/** Writes the settings that a proxy is started with, under the names that they have on the simulator's wire. */
final class ScenarioSettings {
    /** Time after the deadline within which the client must have an answer. */
    static final long ANSWER_SLACK_US = 20_000;

    static final long CONNECT_TIMEOUT_US = 150_000;

    /** Time from the start of a backend until it has its full capacity. */
    static final long WARM_UP_US = 9_000_000;

    /** Share of its capacity that a backend has just after a start. */
    static final double WARM_UP_INITIAL_CAPACITY = 0.33;

    static final int MAX_ATTEMPTS = 4;
    static final List<String> ZONES = List.of("north", "south", "west");
    static final List<String> TENANTS = List.of("school", "press");
    /** Quota of each tenant in requests per second and simulated proxy. */
    private static final double[] TENANT_RATES_PER_PROXY = {9.0, 6.0};

    private final WorkloadScenario scenario;
    private final StringBuilder text = new StringBuilder();

    private ScenarioSettings(WorkloadScenario scenario) {
        this.scenario = scenario;
    }

    /** Returns the settings of a proxy as wire text: each one with a space in front. */
    static String of(WorkloadScenario scenario, int proxyIndex) {
        var settings = new ScenarioSettings(scenario);
        settings.add("balancers", scenario.proxyCount());
        settings.add("rank", proxyIndex);
        settings.addCapabilities();
        settings.addInvariants();
        settings.add("locality", ZONES.get(proxyIndex % ZONES.size()));
        settings.add("over_share_worth", 0.2);
        settings.addRequestClasses();
        if (scenario.hasTenants()) {
            settings.addTenants();
        }
        settings.add("quantum_us", scenario.batchIntervalUs());
        settings.add("registry_mode", scenario.pushed() ? "pushed" : "on_request");
        settings.add("zones", String.join(",", ZONES));
        return settings.text.toString();
    }

    private void add(String name, Object value) {
        text.append(' ').append(name).append('=').append(value);
    }

    private void addCapabilities() {
        int variant = scenario.variant();
        add("bounds.cancel", variant != 3 || scenario.pushed());
        add("bounds.connect_timeout_us", CONNECT_TIMEOUT_US);
        add("bounds.max_retry_after_us", 2_500_000);
        add("bounds.retry_after", variant != 2 || scenario.pushed());
        add("bounds.may_duplicate", variant == 1);
        add("bounds.probes", true);
        add("bounds.most_tries", MAX_ATTEMPTS);
        add("callers.marks_retry", scenario.clientsMarkRetries());
        add("extra.warm_keys", variant != 2 || !scenario.pushed());
    }

    private void addInvariants() {
        add("invariants.answer_slack_us", ANSWER_SLACK_US);
        add("invariants.cold_from", WARM_UP_INITIAL_CAPACITY);
        add("invariants.cold_us", WARM_UP_US);
        add("invariants.drain_grace_us", 1_000_000);
        add("invariants.fall_multiple", 3.0);
        add("invariants.fall_us", 3_000_000);
        add("invariants.must_ask_in_us", 10_000_000);
        add("invariants.full_unproven", scenario.variant() == 3);
    }

    private void addRequestClasses() {
        add("profiles.count", RequestClass.ALL.size());
        for (int i = 0; i < RequestClass.ALL.size(); i++) {
            RequestClass requestClass = RequestClass.ALL.get(i);
            String path = "profiles." + i + ".";
            add(path + "aim_us", requestClass.latencyObjectiveUs());
            add(path + "deadline_us", requestClass.deadlineUs());
            add(path + "effect", requestClass.effect());
            add(path + "key_scope", requestClass.keyScope());
            add(path + "late_worth", requestClass.latePriorityWeight());
            add(path + "name", requestClass.name());
            add(path + "value", requestClass.priorityWeight());
            add(path + "window_us", scenario.idempotencyWindowUs());
        }
    }

    private void addTenants() {
        add("projects.count", TENANTS.size());
        for (int i = 0; i < TENANTS.size(); i++) {
            // Only the simulated proxies get requests, but each of them enforces its share of the quota of the tier.
            double ratePerSecond =
                    TENANT_RATES_PER_PROXY[i] * scenario.proxyCount() / scenario.simulatedProxyIndexes().length;
            add("projects." + i + ".name", TENANTS.get(i));
            add("projects." + i + ".allowance_per_s", ratePerSecond);
        }
    }
}
