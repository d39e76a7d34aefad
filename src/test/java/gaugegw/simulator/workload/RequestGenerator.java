package gaugegw.simulator.workload;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Simulates the clients: their requests, which come in bursts under overload, disconnects and retries. */
final class RequestGenerator {
    private static final long QUIET_AT_END_US = 6_000_000;
    /** Least load at which requests come in bursts. */
    private static final double BURST_LOAD = 2;

    private static final double BURST_PROBABILITY = 0.1;
    private static final int LARGE_TIER = 30;
    private static final int MAX_SUBMISSIONS = 4;
    private static final double RETRY_PROBABILITY = 0.4;
    private static final double NO_TENANT_PROBABILITY = 0.05;
    private static final double FIRST_TENANT_PROBABILITY = 0.7;
    private static final double NO_AFFINITY_KEY_PROBABILITY = 0.2;
    private static final double ESTIMATE_PROBABILITY = 0.5;
    private static final double FULL_PATIENCE_PROBABILITY = 0.9;
    private static final double EARLY_DISCONNECT_PROBABILITY = 0.05;
    private static final int AFFINITY_KEYS = 24;
    private static final long MIN_WORK_US = 2_000;

    private final SimulationContext context;
    private final List<SimulatedProxy> proxies;
    private final Map<String, SimulatedRequest> requests = new HashMap<>();
    private int requestCount;

    RequestGenerator(SimulationContext context, List<SimulatedProxy> proxies) {
        this.context = context;
        this.proxies = proxies;
    }

    Optional<SimulatedRequest> find(String requestId) {
        return Optional.ofNullable(requests.get(requestId));
    }

    /** Sends one request or a burst and schedules the next arrival, until shortly before the end. */
    void arriveRepeatedly() {
        if (context.remainingUs() < QUIET_AT_END_US) {
            return;
        }
        int count = arrivalCount();
        for (int i = 0; i < count; i++) {
            SimulatedProxy proxy = context.random().pick(proxies);
            submit(proxy, randomContent(), 1);
        }
        context.schedule().scheduleAfter(1 + arrivalIntervalUs(), this::arriveRepeatedly);
    }

    /** Returns the size of a burst: concurrency limits matter only where requests arrive at once. */
    private int arrivalCount() {
        double load = context.load();
        if (load < BURST_LOAD || !context.random().chance(BURST_PROBABILITY)) {
            return 1;
        }
        int maxPerLoad = context.scenario().proxyCount() < LARGE_TIER ? 5 : 2;
        return 2 + context.random().below((int) (maxPerLoad * load));
    }

    private long arrivalIntervalUs() {
        WorkloadScenario scenario = context.scenario();
        return (long) (context.random().exponential()
                * scenario.meanArrivalIntervalUs()
                * (scenario.hasSparseBatches() ? 0.5 : 1)
                / Math.sqrt(context.load()));
    }

    private RequestContent randomContent() {
        WorkloadRandom random = context.random();
        RequestClass requestClass = random.pick(RequestClass.ALL);
        Optional<String> tenant = randomTenant();
        Optional<String> affinityKey = randomAffinityKey();
        long workUs = MIN_WORK_US + (long) (requestClass.meanWorkUs() * random.exponential());
        return new RequestContent(requestClass, tenant, affinityKey, workUs);
    }

    private Optional<String> randomTenant() {
        WorkloadRandom random = context.random();
        if (!context.scenario().hasTenants() || random.chance(NO_TENANT_PROBABILITY)) {
            return Optional.empty();
        }
        return Optional.of(ScenarioSettings.TENANTS.get(random.chance(FIRST_TENANT_PROBABILITY) ? 0 : 1));
    }

    /** Returns a key of which some are far more frequent than others. */
    private Optional<String> randomAffinityKey() {
        WorkloadRandom random = context.random();
        if (random.chance(NO_AFFINITY_KEY_PROBABILITY)) {
            return Optional.empty();
        }
        return Optional.of("user:k" + (int) (AFFINITY_KEYS * random.fraction() * random.fraction()));
    }

    private void submit(SimulatedProxy proxy, RequestContent content, int submission) {
        if (!proxy.isRunning()) {
            return;
        }
        WorkloadRandom random = context.random();
        long patienceUs = patienceUs(content.requestClass(), submission);
        requestCount++;
        String id = "t/" + Integer.toString(0x5a17 + 7919 * requestCount, 36);
        var request = new SimulatedRequest(id, proxy, content, context.nowUs() + patienceUs, submission);
        requests.put(id, request);
        context.events().add(arrivalEvent(request, patienceUs));
        context.schedule().scheduleAfter(patienceUs + ScenarioSettings.ANSWER_SLACK_US, () -> disconnect(request));
        if (random.chance(EARLY_DISCONNECT_PROBABILITY)) {
            context.schedule().scheduleAfter(random.between(1_000, patienceUs / 4), () -> disconnect(request));
        }
    }

    /** Returns how long the client waits: a retry has only part of the deadline left. */
    private long patienceUs(RequestClass requestClass, int submission) {
        WorkloadRandom random = context.random();
        long deadlineUs = requestClass.deadlineUs();
        if (submission > 1) {
            return random.between(deadlineUs / 8, deadlineUs * 2 / 3);
        }
        return random.chance(FULL_PATIENCE_PROBABILITY) ? deadlineUs : deadlineUs / 2;
    }

    private String arrivalEvent(SimulatedRequest request, long patienceUs) {
        RequestContent content = request.content();
        boolean hasEstimate = context.random().chance(ESTIMATE_PROBABILITY);
        boolean marked = request.submission() > 1 && context.scenario().clientsMarkRetries();
        return "incoming who=" + request.proxy().id() + " op_id=" + request.id() + " kind="
                + content.requestClass().name()
                + content.tenant().map(tenant -> " user_group=" + tenant).orElse("")
                + content.affinityKey().map(key -> " path_key=" + key).orElse("")
                + " patience_left_us=" + patienceUs
                + (hasEstimate ? " estimate_us=" + content.workUs() : "")
                + (marked ? " repeat=1" : "");
    }

    private void disconnect(SimulatedRequest request) {
        if (!request.isFinished() && !request.isStreaming() && !request.isLost()) {
            request.finish(context.nowUs());
            context.events().add("hangup who=" + request.proxy().id() + " op_id=" + request.id());
        }
    }

    /** Lets the client of a rejected or failed request submit it again with some probability. */
    void retryAfter(SimulatedRequest request, long retryAfterUs) {
        WorkloadRandom random = context.random();
        if (request.submission() < MAX_SUBMISSIONS && random.chance(RETRY_PROBABILITY)) {
            long delayUs = retryAfterUs + random.between(20_000, 200_000);
            context.schedule()
                    .scheduleAfter(delayUs, () -> submit(request.proxy(), request.content(), request.submission() + 1));
        }
    }
}
