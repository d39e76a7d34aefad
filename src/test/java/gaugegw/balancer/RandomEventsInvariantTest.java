package gaugegw.balancer;

import static org.assertj.core.api.Assertions.assertThat;

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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random legal events, with the rules checked by books of the test's own. */
class RandomEventsInvariantTest {
    private static final List<EndpointState> STATES =
            List.of(EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE);

    private static final long TICK = 4_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void theRulesHoldWhateverHappens(long seed) {
        var books = new InvariantChecker(seed);
        books.run();
        assertThat(books.finals).isEqualTo(books.arrived);
        // That the run is worth something; how many are sent is the policy's own business.
        assertThat(books.attemptsSent).isGreaterThan(50);
    }

    private record Due(long at, long order, Event event) {}

    private static final class AttemptRecord {
        private final String backend;
        private final Endpoint sentTo;
        private final long sentAt;
        private AttemptOutcome outcome;

        AttemptRecord(Endpoint sentTo, long sentAt) {
            this.backend = sentTo.id();
            this.sentTo = sentTo;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun(SafetyLimits rules) {
            return outcome == null
                    || !outcome.provesNotExecuted()
                    || (outcome == AttemptOutcome.REJECTED && rules.rejectedMayHaveExecuted());
        }
    }

    private static final class OpenRequest {
        private final RequestClass type;
        private final long deadline;
        private final List<AttemptRecord> tries = new ArrayList<>();
        private boolean over;

        OpenRequest(RequestClass type, long deadline) {
            this.type = type;
            this.deadline = deadline;
        }
    }

    private static final class InvariantChecker {
        private final Random random;
        private final BalancerSettings settings;
        private final EarliestDeadlineLoadBalancer policy;
        private final Map<String, OpenRequest> requests = new HashMap<>();
        private final Map<String, Endpoint> listed = new LinkedHashMap<>();
        private final Map<String, List<Long>> coldSends = new HashMap<>();
        private final PriorityQueue<Due> due = new PriorityQueue<>(
                (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
        private long now = 5_000_000_000L;
        private long order;
        private int arrived;
        private int finals;
        private int attemptsSent;

        InvariantChecker(long seed) {
            random = new Random(seed);
            var classes = new ArrayList<RequestClass>();
            for (Idempotency effect : Idempotency.values()) {
                for (DeduplicationScope scope : DeduplicationScope.values()) {
                    classes.add(new RequestClass(
                            effect + "-" + scope,
                            150_000 + random.nextInt(500_000),
                            700_000 + random.nextInt(2_000_000),
                            1 + random.nextInt(9),
                            random.nextInt(3) / 4.0,
                            effect,
                            scope,
                            100_000 + random.nextInt(1_000_000)));
                }
            }
            settings = new BalancerSettings(
                    1 + random.nextInt(4),
                    0,
                    "a",
                    TICK,
                    classes,
                    random.nextBoolean() ? List.of() : List.of(new Tenant("t", 50)),
                    0.1,
                    false,
                    new Limits(
                            random.nextBoolean(),
                            random.nextBoolean(),
                            random.nextBoolean(),
                            random.nextBoolean(),
                            1 + random.nextInt(5),
                            1_000_000,
                            random.nextInt(200_000)),
                    new SafetyLimits(
                            0.3, 8_000_000, 3, 1_000_000 + random.nextInt(2_000_000), 10_000_000, random.nextBoolean()),
                    seed);
            policy = new EarliestDeadlineLoadBalancer(settings);
        }

        void run() {
            for (int i = 0; i < 6; i++) {
                Endpoint b = backend("s" + i, EndpointState.READY, 0);
                listed.put(b.id(), b);
            }
            feed(new EndpointUpdate(UpdateKind.CACHED, List.copyOf(listed.values())));
            long end = now + 20_000_000;
            while (now < end + 5_000_000) {
                now += TICK;
                while (!due.isEmpty() && due.peek().at() <= now) {
                    deliver(due.poll().event());
                }
                if (now < end) {
                    happen();
                }
                for (OpenRequest r : requests.values()) {
                    assertThat(r.over || now <= r.deadline + 3 * TICK)
                            .as("answered before the client leaves")
                            .isTrue();
                }
                requests.values().removeIf(r -> r.over && r.tries.stream().allMatch(t -> t.outcome != null));
            }
        }

        private void happen() {
            int arrivals = random.nextInt(100) < 30 ? random.nextInt(4) : 0;
            for (int i = 0; i < arrivals; i++) {
                RequestClass type = settings.requestClasses()
                        .get(random.nextInt(settings.requestClasses().size()));
                long left = (long) (type.deadlineUs() * (0.2 + 0.8 * random.nextDouble()));
                String id = "q" + arrived++;
                requests.put(id, new OpenRequest(type, now + left));
                feed(new RequestArrived(
                        id, type.name(), random.nextBoolean() ? "t" : null, null, left, random.nextInt(5) == 0));
            }
            if (random.nextInt(200) == 0) {
                String id = "s" + random.nextInt(8);
                EndpointState state = STATES.get(random.nextInt(STATES.size()));
                Endpoint b = backend(id, state, random.nextInt(3) == 0 ? now - random.nextInt(3_000_000) : 0);
                listed.put(id, b);
                feed(new EndpointUpdate(UpdateKind.DELTA, List.of(b)));
            }
            if (random.nextInt(1500) == 0) {
                listed.clear();
                feed(new EndpointUpdate(UpdateKind.SNAPSHOT, List.of()));
            }
            if (random.nextInt(300) == 0) {
                feed(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
            }
        }

        private Endpoint backend(String id, EndpointState state, long startedAt) {
            return new Endpoint(
                    id,
                    state,
                    "k" + random.nextInt(2),
                    random.nextBoolean() ? "a" : "b",
                    random.nextInt(3),
                    startedAt,
                    1);
        }

        private void deliver(Event event) {
            if (event instanceof AttemptEnded e) {
                OpenRequest r = requests.get(e.requestId());
                if (r == null || r.tries.get(e.attempt()).outcome != null) {
                    return;
                }
                AttemptRecord t = r.tries.get(e.attempt());
                t.outcome = e.outcome();
                boolean closes = e.outcome() == AttemptOutcome.SUCCESS && !r.over;
                if (closes) {
                    r.over = true;
                    finals++;
                }
                feed(new AttemptEnded(e.requestId(), e.attempt(), e.endpointId(), e.outcome(), e.latencyUs(), r.over));
            } else if (event instanceof ClientDisconnected e) {
                OpenRequest r = requests.get(e.requestId());
                if (r != null && !r.over) {
                    r.over = true;
                    finals++;
                    feed(event);
                }
            } else {
                feed(event);
            }
        }

        private void feed(Event event) {
            policy.handle(now, event, action -> {
                if (action instanceof StartAttempt a) {
                    sent(a);
                } else if (action instanceof Reject a) {
                    refused(a.requestId());
                } else if (action instanceof Fail a) {
                    over(a.requestId());
                } else if (action instanceof CancelAttempt a) {
                    assertThat(settings.limits().cancellation()).isTrue();
                    AttemptRecord t = requests.get(a.requestId()).tries.get(a.attempt());
                    due.add(new Due(
                            now + TICK,
                            order++,
                            new AttemptEnded(
                                    a.requestId(),
                                    a.attempt(),
                                    t.backend,
                                    AttemptOutcome.CANCELLED,
                                    now - t.sentAt,
                                    true)));
                } else if (action instanceof SetTimer a) {
                    due.add(new Due(Math.max(a.atUs(), now + 1), order++, new TimerFired(a.token())));
                } else if (action instanceof WatchEndpoints) {
                    assertThat(settings.limits().endpointsArePolled()).isTrue();
                }
            });
        }

        private void over(String id) {
            OpenRequest r = requests.get(id);
            assertThat(r.over).as("one final answer").isFalse();
            r.over = true;
            finals++;
        }

        private void refused(String id) {
            OpenRequest r = requests.get(id);
            for (AttemptRecord t : r.tries) {
                if (t.mayHaveRun(settings.safetyLimits())) {
                    assertThat(r.type.idempotency()).isNotEqualTo(Idempotency.NOT_IDEMPOTENT);
                    assertThat(r.type.idempotency() == Idempotency.IDEMPOTENT
                                    || r.type.deduplicationScope() == DeduplicationScope.ALL)
                            .isTrue();
                }
            }
            over(id);
        }

        private void sent(StartAttempt a) {
            OpenRequest r = requests.get(a.requestId());
            Endpoint to = listed.get(a.endpointId());
            attemptsSent++;
            assertThat(r.over).as("nothing after the final answer").isFalse();
            assertThat(to).as("a backend on the list").isNotNull();
            assertThat(to.state()).isEqualTo(EndpointState.READY);
            assertThat(r.tries.size()).isLessThan(settings.limits().maxAttempts());
            assertThat(a.timeoutUs()).isPositive();
            assertThat(now + a.timeoutUs()).isLessThanOrEqualTo(r.deadline);
            for (AttemptRecord t : r.tries) {
                assertThat(settings.limits().hedging() || t.outcome != null).isTrue();
                if (t.mayHaveRun(settings.safetyLimits()) && r.type.idempotency() != Idempotency.IDEMPOTENT) {
                    assertThat(r.type.idempotency()).isEqualTo(Idempotency.IDEMPOTENT_WITH_KEY);
                    assertThat(now + settings.limits().connectTimeoutUs())
                            .isLessThan(t.sentAt + r.type.deduplicationWindowUs());
                    assertThat(
                                    switch (r.type.deduplicationScope()) {
                                        case ALL -> true;
                                        case ZONE -> t.sentTo.zone().equals(to.zone());
                                        case CELL -> t.sentTo.cell() == to.cell();
                                    })
                            .isTrue();
                }
            }
            cold(to);
            r.tries.add(new AttemptRecord(to, now));
            int attempt = r.tries.size() - 1;
            AttemptOutcome outcome = random.nextInt(10) < 6
                    ? AttemptOutcome.SUCCESS
                    : List.of(
                                    AttemptOutcome.ERROR,
                                    AttemptOutcome.REJECTED,
                                    AttemptOutcome.TIMEOUT,
                                    AttemptOutcome.CONNECT_FAILED,
                                    AttemptOutcome.RESET)
                            .get(random.nextInt(5));
            long latency = outcome == AttemptOutcome.TIMEOUT
                    ? a.timeoutUs()
                    : Math.min(a.timeoutUs() - 1, 1_000 + random.nextInt(60_000));
            due.add(new Due(
                    now + latency,
                    order++,
                    new AttemptEnded(a.requestId(), attempt, to.id(), outcome, latency, false)));
            if (attempt == 0 && random.nextInt(50) == 0) {
                due.add(new Due(now + random.nextInt(100_000), order++, new ClientDisconnected(a.requestId())));
            }
        }

        /** The budget of one instance: answers take over 25 ms in the mean, so a full backend does under 40 a second. */
        private void cold(Endpoint to) {
            SafetyLimits rules = settings.safetyLimits();
            if (to.startedAtUs() == 0 || now - to.startedAtUs() >= rules.slowStartUs()) {
                return;
            }
            List<Long> sends = coldSends.computeIfAbsent(to.id() + "@" + to.startedAtUs(), key -> new ArrayList<>());
            sends.add(now);
            long inWindow = sends.stream()
                    .filter(at -> at > now - rules.overloadWindowUs())
                    .count();
            double share = rules.initialCapacity()
                    + (1 - rules.initialCapacity()) * (now - to.startedAtUs()) / rules.slowStartUs();
            double most =
                    rules.overloadMultiple() * share * 40 * rules.overloadWindowUs() / 1e6 / settings.proxyCount();
            assertThat((double) inWindow).as("cold budget").isLessThanOrEqualTo(Math.max(2, most));
        }
    }
}
