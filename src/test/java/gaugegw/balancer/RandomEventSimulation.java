package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Action.CancelAttempt;
import gaugegw.balancer.api.Action.Fail;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.Action.WatchEndpoints;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.Event.TimerFired;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.Limits;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;
import gaugegw.balancer.api.Tenant;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.balancer.testing.TestEndpoints;
import gaugegw.balancer.testing.TestSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Runs one load balancer for 25 simulated seconds with random settings and random valid events. In the last 5 s no
 * requests arrive and the endpoint list does not change, so that only attempts, timers and disconnects are left. All
 * random numbers come from one generator, so that a seed always gives the same run.
 */
final class RandomEventSimulation {
    /** Time between two rounds of events, in microseconds. */
    static final long TICK_US = 4_000;

    /** Duration of the part of a run in which requests arrive, in microseconds. */
    private static final long REQUEST_PHASE_US = 20_000_000;
    /** Duration of the rest of a run, in microseconds. */
    private static final long FINAL_PHASE_US = 5_000_000;

    private static final List<EndpointState> ENDPOINT_STATES =
            List.of(EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE);
    private static final List<AttemptOutcome> FAILURES = List.of(
            AttemptOutcome.ERROR,
            AttemptOutcome.REJECTED,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.RESET);

    private record ScheduledEvent(long atUs, long order, Event event) {}

    private final Random random;
    private final BalancerSettings settings;
    private final EarliestDeadlineLoadBalancer balancer;
    private final InvariantChecker checker;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final PriorityQueue<ScheduledEvent> schedule = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::atUs).thenComparingLong(ScheduledEvent::order));
    private long nowUs = 5_000_000_000L;
    private long nextOrder;
    private int requestCount;

    RandomEventSimulation(long seed) {
        random = new Random(seed);
        settings = randomSettings(seed);
        balancer = new EarliestDeadlineLoadBalancer(settings);
        checker = new InvariantChecker(settings);
    }

    int requestCount() {
        return requestCount;
    }

    int finalAnswers() {
        return checker.finalAnswers();
    }

    int attemptsStarted() {
        return checker.attemptsStarted();
    }

    // The order of the calls of the random number generator must not change: it determines the run that a seed gives.
    private BalancerSettings randomSettings(long seed) {
        List<RequestClass> requestClasses = randomRequestClasses();
        return TestSettings.settings()
                .proxy(0, 1 + random.nextInt(4))
                .minEventIntervalUs(TICK_US)
                .requestClasses(requestClasses)
                .tenants(random.nextBoolean() ? new Tenant[0] : new Tenant[] {new Tenant("t", 50)})
                .overQuotaWeightFraction(0.1)
                .limits(randomLimits())
                .safetyLimits(randomSafetyLimits())
                .seed(seed)
                .build();
    }

    private List<RequestClass> randomRequestClasses() {
        var requestClasses = new ArrayList<RequestClass>();
        for (Idempotency idempotency : Idempotency.values()) {
            for (DeduplicationScope scope : DeduplicationScope.values()) {
                requestClasses.add(TestSettings.requestClass(idempotency + "-" + scope)
                        .latencyObjectiveUs(150_000 + random.nextInt(500_000))
                        .deadlineUs(700_000 + random.nextInt(2_000_000))
                        .priorityWeight(1 + random.nextInt(9))
                        .lateWeightFraction(random.nextInt(3) / 4.0)
                        .idempotency(idempotency)
                        .deduplicationWindow(scope, 100_000 + random.nextInt(1_000_000))
                        .build());
            }
        }
        return requestClasses;
    }

    private Limits randomLimits() {
        return TestSettings.limits()
                .cancellation(random.nextBoolean())
                .hedging(random.nextBoolean())
                .healthChecks(random.nextBoolean())
                .endpointUpdatesOnRequest(random.nextBoolean())
                .maxAttempts(1 + random.nextInt(5))
                .maxRetryAfterUs(1_000_000)
                .connectTimeoutUs(random.nextInt(200_000))
                .build();
    }

    private SafetyLimits randomSafetyLimits() {
        return TestSettings.safetyLimits()
                .initialCapacityFraction(0.3)
                .slowStartUs(8_000_000)
                .overloadMultiple(3)
                .overloadWindowUs(1_000_000 + random.nextInt(2_000_000))
                .pollIntervalUs(10_000_000)
                .rejectedMayHaveExecuted(random.nextBoolean())
                .build();
    }

    void run() {
        for (int i = 0; i < 6; i++) {
            Endpoint endpoint = randomEndpoint("s" + i, EndpointState.READY, 0);
            endpoints.put(endpoint.id(), endpoint);
        }
        handle(new EndpointUpdate(UpdateKind.CACHED, List.copyOf(endpoints.values())));
        long requestPhaseEndUs = nowUs + REQUEST_PHASE_US;
        while (nowUs < requestPhaseEndUs + FINAL_PHASE_US) {
            nowUs += TICK_US;
            while (!schedule.isEmpty() && schedule.peek().atUs() <= nowUs) {
                deliver(schedule.poll().event());
            }
            if (nowUs < requestPhaseEndUs) {
                generateEvents();
            }
            checker.checkDeadlines(nowUs);
        }
    }

    private void generateEvents() {
        int newRequests = random.nextInt(100) < 30 ? random.nextInt(4) : 0;
        for (int i = 0; i < newRequests; i++) {
            generateRequest();
        }
        if (random.nextInt(200) == 0) {
            changeEndpoint();
        }
        if (random.nextInt(1500) == 0) {
            endpoints.clear();
            handle(new EndpointUpdate(UpdateKind.SNAPSHOT, List.of()));
        }
        if (random.nextInt(300) == 0) {
            handle(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
        }
    }

    private void generateRequest() {
        RequestClass requestClass = settings.requestClasses()
                .get(random.nextInt(settings.requestClasses().size()));
        long timeoutUs = (long) (requestClass.deadlineUs() * (0.2 + 0.8 * random.nextDouble()));
        String id = "q" + requestCount++;
        checker.requestArrived(id, requestClass, nowUs + timeoutUs);
        String tenant = random.nextBoolean() ? "t" : null;
        boolean retry = random.nextInt(5) == 0;
        handle(new RequestArrived(id, requestClass.name(), tenant, null, timeoutUs, retry));
    }

    private void changeEndpoint() {
        String id = "s" + random.nextInt(8);
        EndpointState state = ENDPOINT_STATES.get(random.nextInt(ENDPOINT_STATES.size()));
        long startedAtUs = random.nextInt(3) == 0 ? nowUs - random.nextInt(3_000_000) : 0;
        Endpoint endpoint = randomEndpoint(id, state, startedAtUs);
        endpoints.put(id, endpoint);
        handle(new EndpointUpdate(UpdateKind.DELTA, List.of(endpoint)));
    }

    private Endpoint randomEndpoint(String id, EndpointState state, long startedAtUs) {
        return TestEndpoints.endpointBuilder(id)
                .state(state)
                .kind("k" + random.nextInt(2))
                .zone(random.nextBoolean() ? "a" : "b")
                .cell(random.nextInt(3))
                .startedAtUs(startedAtUs)
                .build();
    }

    /** Delivers a scheduled event, unless its attempt or request has ended in the meantime. */
    private void deliver(Event event) {
        if (event instanceof AttemptEnded end) {
            if (checker.isInFlight(end.requestId(), end.attempt())) {
                boolean requestEnded = checker.attemptEnded(end.requestId(), end.attempt(), end.outcome());
                handle(new AttemptEnded(
                        end.requestId(),
                        end.attempt(),
                        end.endpointId(),
                        end.outcome(),
                        end.latencyUs(),
                        requestEnded));
            }
        } else if (event instanceof ClientDisconnected disconnect) {
            if (checker.clientDisconnected(disconnect.requestId())) {
                handle(event);
            }
        } else {
            handle(event);
        }
    }

    private void handle(Event event) {
        balancer.handle(nowUs, event, this::execute);
    }

    private void execute(Action action) {
        if (action instanceof StartAttempt start) {
            startAttempt(start);
        } else if (action instanceof Reject reject) {
            checker.rejected(reject.requestId());
        } else if (action instanceof Fail fail) {
            checker.finished(fail.requestId());
        } else if (action instanceof CancelAttempt cancel) {
            cancelAttempt(cancel);
        } else if (action instanceof SetTimer timer) {
            schedule(Math.max(timer.atUs(), nowUs + 1), new TimerFired(timer.token()));
        } else if (action instanceof WatchEndpoints) {
            checker.endpointsWatched();
        }
    }

    private void startAttempt(StartAttempt start) {
        int attempt = checker.attemptStarted(start, endpoints.get(start.endpointId()), nowUs);
        AttemptOutcome outcome =
                random.nextInt(10) < 6 ? AttemptOutcome.SUCCESS : FAILURES.get(random.nextInt(FAILURES.size()));
        long latencyUs = outcome == AttemptOutcome.TIMEOUT
                ? start.timeoutUs()
                : Math.min(start.timeoutUs() - 1, 1_000 + random.nextInt(60_000));
        schedule(
                nowUs + latencyUs,
                new AttemptEnded(start.requestId(), attempt, start.endpointId(), outcome, latencyUs, false));
        if (attempt == 0 && random.nextInt(50) == 0) {
            schedule(nowUs + random.nextInt(100_000), new ClientDisconnected(start.requestId()));
        }
    }

    private void cancelAttempt(CancelAttempt cancel) {
        InvariantChecker.Attempt attempt = checker.attemptCancelled(cancel);
        schedule(
                nowUs + TICK_US,
                new AttemptEnded(
                        cancel.requestId(),
                        cancel.attempt(),
                        attempt.endpoint().id(),
                        AttemptOutcome.CANCELLED,
                        nowUs - attempt.startedAtUs(),
                        true));
    }

    private void schedule(long atUs, Event event) {
        schedule.add(new ScheduledEvent(atUs, nextOrder++, event));
    }
}
