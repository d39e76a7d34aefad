package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointInState;
import static gaugegw.balancer.testing.TestEndpoints.endpointStartedAt;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.readOnlySettings;
import static gaugegw.balancer.testing.TestSettings.safetyLimits;
import static org.assertj.core.api.Assertions.assertThat;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Rule 4 over a whole fleet: what all proxies together send to a cold backend. Traffic is uneven: one proxy in five gets
 * eight times as much as each of the others. It is calm before the burst, so that unused budget could be saved up.
 */
class SlowStartFleetTest {
    private static final SafetyLimits RULES =
            safetyLimits().slowStartUs(20 * SECONDS).overloadMultiple(1.5).build();
    /** A backend serves one request at a time. */
    private static final long SERVICE_US = 100 * MILLIS;

    private static final int LEAST_BACKENDS = 40;
    /** One in so many backends is restarted under its old id, and as many join. */
    private static final int RESTARTED = 8;

    private static final long STARTED_AT = 30 * SECONDS;
    private static final long BURST_AT = 44 * SECONDS;
    private static final long END = STARTED_AT + RULES.slowStartUs();

    @ParameterizedTest
    @CsvSource({
        "1, 1, 0.5, false",
        "3, 2, 0.5, false",
        "30, 3, 0.5, false",
        "30, 4, 0.5, true",
        "30, 5, 0.05, false",
        "30, 6, 0.05, true",
        "30, 7, 0.05, false",
        "100, 10, 0.05, false",
        "100, 11, 0.02, true",
        "400, 8, 0.05, false",
        "400, 9, 0.5, true"
    })
    void allProxiesTogetherKeepToTheRampAndUseAFairPart(
            int proxies, long seed, double loadBeforeBurst, boolean listChangesEachSecond) {
        var fleet = new Fleet(proxies, seed, loadBeforeBurst, listChangesEachSecond);
        fleet.run();
        assertThat(fleet.worst).as("most in a window, as a part of the bound").isLessThanOrEqualTo(1);
        assertThat(fleet.meanPart()).as("sent during the burst, as a part of N").isBetween(0.1, 1.0);
    }

    /** Proxies that share backends on one simulated clock. */
    private static final class Fleet {
        private record Due(long at, long order, Runnable task) {}

        private final Random random;
        private final int size;
        private final List<EarliestDeadlineLoadBalancer> proxies = new ArrayList<>();
        private final double[] cumulativeTraffic;
        private final double loadBeforeBurst;
        private final boolean listChangesEachSecond;
        private final Map<String, Endpoint> backends = new HashMap<>();
        private final Map<String, Long> freeAt = new HashMap<>();
        private final Map<String, List<Long>> coldSends = new HashMap<>();
        private final PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
        private final Map<String, Integer> attempts = new HashMap<>();
        private long now;
        private long order;
        private double worst;

        Fleet(int count, long seed, double loadBeforeBurst, boolean listChangesEachSecond) {
            this.random = new Random(seed);
            this.size = Math.max(LEAST_BACKENDS, count / 2);
            this.loadBeforeBurst = loadBeforeBurst;
            this.listChangesEachSecond = listChangesEachSecond;
            cumulativeTraffic = new double[count];
            double sum = 0;
            for (int rank = 0; rank < count; rank++) {
                proxies.add(new EarliestDeadlineLoadBalancer(readOnlySettings()
                        .proxy(rank, count)
                        .safetyLimits(RULES)
                        .seed(random.nextLong())
                        .build()));
                sum += rank % 5 == 0 ? 4 : 0.5;
                cumulativeTraffic[rank] = sum;
            }
        }

        void run() {
            for (int i = 0; i < size; i++) {
                backends.put("s" + i, endpoint("s" + i));
            }
            at(0, () -> tell(UpdateKind.SNAPSHOT, List.copyOf(backends.values())));
            at(STARTED_AT, this::startCold);
            at(MILLIS, this::arrive);
            if (listChangesEachSecond) {
                at(SECONDS, this::changeList);
            }
            while (!due.isEmpty() && due.peek().at() < END) {
                Due next = due.poll();
                now = next.at();
                next.task().run();
            }
        }

        private void at(long time, Runnable task) {
            due.add(new Due(time, order++, task));
        }

        private void tell(UpdateKind kind, List<Endpoint> news) {
            for (int rank = 0; rank < proxies.size(); rank++) {
                handle(rank, new EndpointUpdate(kind, news));
            }
        }

        private void startCold() {
            var news = new ArrayList<Endpoint>();
            for (int i = 0; i < size / RESTARTED; i++) {
                news.add(endpointStartedAt("s" + i, now));
                news.add(endpointStartedAt("new" + i, now));
            }
            news.forEach(b -> backends.put(b.id(), b));
            tell(UpdateKind.DELTA, news);
        }

        private void changeList() {
            tell(UpdateKind.DELTA, List.of(endpointInState("other" + now / SECONDS, EndpointState.GONE)));
            at(now + SECONDS, this::changeList);
        }

        private void arrive() {
            double place = random.nextDouble() * cumulativeTraffic[proxies.size() - 1];
            int rank = -1 - Arrays.binarySearch(cumulativeTraffic, place);
            handle(rank, new RequestArrived("r" + order++, "read", null, null, READ.deadlineUs(), false));
            // Half of what the backends can do, as long as nothing is cold, then what the case names, then twice as
            // much.
            double load = now < STARTED_AT ? 0.5 : now < BURST_AT ? loadBeforeBurst : 1.5;
            double meanUs = SERVICE_US / (load * size);
            at(now + 1 + (long) (-meanUs * Math.log(1 - random.nextDouble())), this::arrive);
        }

        private void handle(int rank, Event event) {
            var actions = new ArrayList<Action>();
            proxies.get(rank).handle(now, event, actions::add);
            for (Action action : actions) {
                if (action instanceof SetTimer t) {
                    at(Math.max(now, t.atUs()), () -> handle(rank, new TimerFired(t.token())));
                } else if (action instanceof StartAttempt s) {
                    serve(rank, s);
                }
            }
        }

        /** A backend works off one request after the other, and turns away what would wait too long. */
        private void serve(int rank, StartAttempt send) {
            Endpoint to = backends.get(send.endpointId());
            countCold(to);
            int attempt = attempts.merge(send.requestId(), 1, Integer::sum) - 1;
            long begin = Math.max(now, freeAt.getOrDefault(to.id(), 0L));
            long service = (long) (SERVICE_US * (0.5 + random.nextDouble()) / capacityPart(to));
            boolean full = begin - now > 10 * SERVICE_US;
            long endsAt = full ? now + MILLIS : begin + service;
            boolean late = endsAt > now + send.timeoutUs();
            if (!full) {
                freeAt.put(to.id(), endsAt);
            }
            AttemptOutcome outcome =
                    late ? AttemptOutcome.TIMEOUT : full ? AttemptOutcome.REJECTED : AttemptOutcome.SUCCESS;
            long latency = Math.min(send.timeoutUs(), endsAt - now);
            at(
                    now + latency,
                    () -> handle(
                            rank,
                            new AttemptEnded(
                                    send.requestId(),
                                    attempt,
                                    to.id(),
                                    outcome,
                                    latency,
                                    outcome == AttemptOutcome.SUCCESS)));
        }

        private double capacityPart(Endpoint b) {
            return b.startedAtUs() == 0
                    ? 1
                    : RULES.initialCapacity()
                            + (1 - RULES.initialCapacity()) * (now - b.startedAtUs()) / RULES.slowStartUs();
        }

        private double allowed(Endpoint b) {
            return RULES.overloadMultiple() * capacityPart(b) * RULES.overloadWindowUs() / SERVICE_US;
        }

        private void countCold(Endpoint b) {
            if (b.startedAtUs() == 0) {
                return;
            }
            List<Long> sends = coldSends.computeIfAbsent(b.id(), id -> new ArrayList<>());
            sends.add(now);
            long inWindow = sends.stream()
                    .filter(time -> time > now - RULES.overloadWindowUs())
                    .count();
            double n = allowed(b);
            worst = Math.max(worst, inWindow / (n + 2 * Math.sqrt(n) + 2));
        }

        /** What all cold backends got during the burst, as a part of what the rule allowed them in its middle. */
        private double meanPart() {
            long sent = coldSends.values().stream()
                    .mapToLong(sends ->
                            sends.stream().filter(time -> time >= BURST_AT).count())
                    .sum();
            long halfway = (BURST_AT + END) / 2;
            double part = RULES.initialCapacity()
                    + (1 - RULES.initialCapacity()) * (halfway - STARTED_AT) / RULES.slowStartUs();
            return sent * SERVICE_US / (2 * (size / RESTARTED) * RULES.overloadMultiple() * part * (END - BURST_AT));
        }
    }
}
