package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointInState;
import static gaugegw.balancer.testing.TestEndpoints.endpointStartedAt;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.minimalSettings;
import static gaugegw.balancer.testing.TestSettings.safetyLimits;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.Event.TimerFired;
import gaugegw.balancer.api.SafetyLimits;
import gaugegw.balancer.api.UpdateKind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates a fleet of proxies that share endpoints, on one simulated clock. At 30 s some endpoints restart and as many
 * are added. At 44 s a burst of requests begins, which lasts until slow start is over.
 *
 * <p>Traffic is uneven: one proxy in five gets eight times as many requests as each of the others. With a low load
 * before the burst, proxies that accumulate unused budget would exceed the bound at the start of the burst.
 */
final class SlowStartFleetSimulation {
    private static final SafetyLimits SAFETY_LIMITS =
            safetyLimits().slowStartUs(20 * SECONDS).overloadMultiple(1.5).build();

    /** Mean service time of a request at full capacity, in microseconds. An endpoint serves one request at a time. */
    private static final long SERVICE_US = 100 * MILLIS;

    /** An endpoint rejects a request that would wait longer than this in its queue, in microseconds. */
    private static final long MAX_QUEUEING_US = 10 * SERVICE_US;

    private static final int MIN_ENDPOINTS = 40;

    /** One in this many endpoints restarts under its id, and as many new endpoints are added. */
    private static final int ENDPOINTS_PER_RESTART = 8;

    private static final long RESTART_AT_US = 30 * SECONDS;
    private static final long BURST_AT_US = 44 * SECONDS;
    private static final long END_US = RESTART_AT_US + SAFETY_LIMITS.slowStartUs();

    /** Load until the restart, as a fraction of the full capacity of all original endpoints. */
    private static final double LOAD_BEFORE_RESTART = 0.5;

    /** Load during the burst, as a fraction of the full capacity of all original endpoints. */
    private static final double LOAD_IN_BURST = 1.5;

    private record ScheduledTask(long atUs, long order, Runnable task) {}

    private final Random random;
    private final int endpointCount;
    private final List<EarliestDeadlineLoadBalancer> proxies = new ArrayList<>();
    /** Cumulative request rates of the proxies, relative to one another. */
    private final double[] cumulativeTraffic;

    private final double loadBeforeBurst;
    private final boolean listChangesEachSecond;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** When each endpoint will have served all requests that it has accepted. */
    private final Map<String, Long> freeAtUs = new HashMap<>();

    /** Start times, in microseconds, of the attempts at each endpoint in slow start. */
    private final Map<String, List<Long>> slowStartAttempts = new HashMap<>();

    private final Map<String, Integer> attemptCounts = new HashMap<>();
    private final PriorityQueue<ScheduledTask> schedule =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::atUs).thenComparingLong(ScheduledTask::order));
    private long nowUs;
    private long nextOrder;
    private double maxBoundUtilization;

    SlowStartFleetSimulation(int proxyCount, long seed, double loadBeforeBurst, boolean listChangesEachSecond) {
        this.random = new Random(seed);
        this.endpointCount = Math.max(MIN_ENDPOINTS, proxyCount / 2);
        this.loadBeforeBurst = loadBeforeBurst;
        this.listChangesEachSecond = listChangesEachSecond;
        cumulativeTraffic = new double[proxyCount];
        double sum = 0;
        for (int index = 0; index < proxyCount; index++) {
            proxies.add(new EarliestDeadlineLoadBalancer(minimalSettings()
                    .proxy(index, proxyCount)
                    .safetyLimits(SAFETY_LIMITS)
                    .seed(random.nextLong())
                    .build()));
            sum += index % 5 == 0 ? 4 : 0.5;
            cumulativeTraffic[index] = sum;
        }
    }

    void run() {
        for (int i = 0; i < endpointCount; i++) {
            endpoints.put("s" + i, endpoint("s" + i));
        }
        schedule(0, () -> publish(UpdateKind.SNAPSHOT, List.copyOf(endpoints.values())));
        schedule(RESTART_AT_US, this::restartEndpoints);
        schedule(MILLIS, this::submitRequest);
        if (listChangesEachSecond) {
            schedule(SECONDS, this::changeEndpointList);
        }
        while (!schedule.isEmpty() && schedule.peek().atUs() < END_US) {
            ScheduledTask next = schedule.poll();
            nowUs = next.atUs();
            next.task().run();
        }
    }

    private void schedule(long atUs, Runnable task) {
        schedule.add(new ScheduledTask(atUs, nextOrder++, task));
    }

    private void publish(UpdateKind kind, List<Endpoint> entries) {
        for (int index = 0; index < proxies.size(); index++) {
            handle(index, new EndpointUpdate(kind, entries));
        }
    }

    private void restartEndpoints() {
        var changes = new ArrayList<Endpoint>();
        for (int i = 0; i < endpointCount / ENDPOINTS_PER_RESTART; i++) {
            changes.add(endpointStartedAt("s" + i, nowUs));
            changes.add(endpointStartedAt("new" + i, nowUs));
        }
        changes.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        publish(UpdateKind.DELTA, changes);
    }

    /** Publishes the removal of an endpoint that does not exist. Even so, each proxy refreshes its weights. */
    private void changeEndpointList() {
        publish(UpdateKind.DELTA, List.of(endpointInState("other" + nowUs / SECONDS, EndpointState.GONE)));
        schedule(nowUs + SECONDS, this::changeEndpointList);
    }

    private void submitRequest() {
        double point = random.nextDouble() * cumulativeTraffic[proxies.size() - 1];
        int index = -1 - Arrays.binarySearch(cumulativeTraffic, point);
        handle(index, new RequestArrived("r" + nextOrder++, "read", null, null, READ.deadlineUs(), false));
        double meanIntervalUs = SERVICE_US / (load() * endpointCount);
        long intervalUs = (long) (-meanIntervalUs * Math.log(1 - random.nextDouble()));
        schedule(nowUs + 1 + intervalUs, this::submitRequest);
    }

    private double load() {
        if (nowUs < RESTART_AT_US) {
            return LOAD_BEFORE_RESTART;
        }
        return nowUs < BURST_AT_US ? loadBeforeBurst : LOAD_IN_BURST;
    }

    private void handle(int index, Event event) {
        var actions = new ArrayList<Action>();
        proxies.get(index).handle(nowUs, event, actions::add);
        for (Action action : actions) {
            if (action instanceof SetTimer timer) {
                schedule(Math.max(nowUs, timer.atUs()), () -> handle(index, new TimerFired(timer.token())));
            } else if (action instanceof StartAttempt start) {
                serve(index, start);
            }
        }
    }

    /** Simulates an attempt at its endpoint, which queues the request or rejects it if it would wait too long. */
    private void serve(int index, StartAttempt start) {
        Endpoint endpoint = endpoints.get(start.endpointId());
        recordSlowStartAttempt(endpoint);
        int attempt = attemptCounts.merge(start.requestId(), 1, Integer::sum) - 1;
        long beginAtUs = Math.max(nowUs, freeAtUs.getOrDefault(endpoint.id(), 0L));
        long serviceUs = (long) (SERVICE_US * (0.5 + random.nextDouble()) / capacity(endpoint));
        boolean full = beginAtUs - nowUs > MAX_QUEUEING_US;
        long endAtUs = full ? nowUs + MILLIS : beginAtUs + serviceUs;
        if (!full) {
            freeAtUs.put(endpoint.id(), endAtUs);
        }
        AttemptOutcome outcome = full ? AttemptOutcome.REJECTED : AttemptOutcome.SUCCESS;
        if (endAtUs > nowUs + start.timeoutUs()) {
            outcome = AttemptOutcome.TIMEOUT;
        }
        long latencyUs = Math.min(start.timeoutUs(), endAtUs - nowUs);
        var end = new AttemptEnded(
                start.requestId(), attempt, endpoint.id(), outcome, latencyUs, outcome == AttemptOutcome.SUCCESS);
        schedule(nowUs + latencyUs, () -> handle(index, end));
    }

    /** Returns the current capacity of an endpoint, as a fraction of its full capacity. */
    private double capacity(Endpoint endpoint) {
        return endpoint.startedAtUs() == 0 ? 1 : capacityAfter(nowUs - endpoint.startedAtUs());
    }

    private static double capacityAfter(long uptimeUs) {
        return SAFETY_LIMITS.initialCapacityFraction()
                + (1 - SAFETY_LIMITS.initialCapacityFraction()) * uptimeUs / SAFETY_LIMITS.slowStartUs();
    }

    /** Returns the number of attempts within an overload window that would make an endpoint fail now. */
    private double budget(Endpoint endpoint) {
        return SAFETY_LIMITS.overloadMultiple() * capacity(endpoint) * SAFETY_LIMITS.overloadWindowUs() / SERVICE_US;
    }

    private void recordSlowStartAttempt(Endpoint endpoint) {
        if (endpoint.startedAtUs() == 0) {
            return;
        }
        List<Long> attemptTimesUs = slowStartAttempts.computeIfAbsent(endpoint.id(), id -> new ArrayList<>());
        attemptTimesUs.add(nowUs);
        long inWindow = attemptTimesUs.stream()
                .filter(timeUs -> timeUs > nowUs - SAFETY_LIMITS.overloadWindowUs())
                .count();
        // The proxies are independent, so the number of attempts varies randomly around its mean. The bound is
        // therefore the budget plus two standard deviations (of a Poisson distribution), plus two.
        double budget = budget(endpoint);
        maxBoundUtilization = Math.max(maxBoundUtilization, inWindow / (budget + 2 * Math.sqrt(budget) + 2));
    }

    /**
     * Returns the maximum, over all endpoints in slow start and all overload windows, of the attempts in the window as
     * a fraction of the bound at its end.
     */
    double maxBoundUtilization() {
        return maxBoundUtilization;
    }

    /**
     * Returns the attempts that the endpoints in slow start got during the burst, as a fraction of their budget. The
     * budget is computed with their capacity halfway through the burst.
     */
    double meanBudgetUtilization() {
        long attempts = slowStartAttempts.values().stream()
                .mapToLong(timesUs ->
                        timesUs.stream().filter(timeUs -> timeUs >= BURST_AT_US).count())
                .sum();
        long halfwayUs = (BURST_AT_US + END_US) / 2;
        double capacity = capacityAfter(halfwayUs - RESTART_AT_US);
        int endpointsInSlowStart = 2 * (endpointCount / ENDPOINTS_PER_RESTART);
        return attempts
                * SERVICE_US
                / (endpointsInSlowStart * SAFETY_LIMITS.overloadMultiple() * capacity * (END_US - BURST_AT_US));
    }
}
