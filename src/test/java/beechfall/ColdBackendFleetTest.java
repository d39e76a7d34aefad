package beechfall;

import static beechfall.ModuleDriver.LIMITS;
import static beechfall.ModuleDriver.MS;
import static beechfall.ModuleDriver.READ;
import static beechfall.ModuleDriver.S;
import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Action.Send;
import beechfall.Action.SetTimer;
import beechfall.Event.Arrival;
import beechfall.Event.AttemptEnded;
import beechfall.Event.Members;
import beechfall.Event.TimerFired;
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
class ColdBackendFleetTest {
    private static final Rules RULES = new Rules(0.4, 20 * S, 1.5, S, 10 * S, false);
    /** A backend serves one request at a time. */
    private static final long SERVICE_US = 100 * MS;

    private static final int LEAST_BACKENDS = 40;
    /** One in so many backends is restarted under its old id, and as many join. */
    private static final int RESTARTED = 8;

    private static final long STARTED_AT = 30 * S;
    private static final long BURST_AT = 44 * S;
    private static final long END = STARTED_AT + RULES.coldUs();

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
        private final List<Policy> proxies = new ArrayList<>();
        private final double[] cumulativeTraffic;
        private final double loadBeforeBurst;
        private final boolean listChangesEachSecond;
        private final Map<String, Backend> backends = new HashMap<>();
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
                proxies.add(new Policy(new Settings(
                        count, rank, "a", MS, List.of(READ), List.of(), 1, false, LIMITS, RULES, random.nextLong())));
                sum += rank % 5 == 0 ? 4 : 0.5;
                cumulativeTraffic[rank] = sum;
            }
        }

        void run() {
            for (int i = 0; i < size; i++) {
                backends.put("s" + i, ModuleDriver.backend("s" + i));
            }
            at(0, () -> tell(ListKind.FULL, List.copyOf(backends.values())));
            at(STARTED_AT, this::startCold);
            at(MS, this::arrive);
            if (listChangesEachSecond) {
                at(S, this::changeList);
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

        private void tell(ListKind kind, List<Backend> news) {
            for (int rank = 0; rank < proxies.size(); rank++) {
                handle(rank, new Members(kind, news));
            }
        }

        private void startCold() {
            var news = new ArrayList<Backend>();
            for (int i = 0; i < size / RESTARTED; i++) {
                news.add(ModuleDriver.started("s" + i, now));
                news.add(ModuleDriver.started("new" + i, now));
            }
            news.forEach(b -> backends.put(b.id(), b));
            tell(ListKind.DELTA, news);
        }

        private void changeList() {
            tell(ListKind.DELTA, List.of(ModuleDriver.in(State.GONE, "other" + now / S)));
            at(now + S, this::changeList);
        }

        private void arrive() {
            double place = random.nextDouble() * cumulativeTraffic[proxies.size() - 1];
            int rank = -1 - Arrays.binarySearch(cumulativeTraffic, place);
            handle(rank, new Arrival("r" + order++, "read", null, null, READ.deadlineUs(), false));
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
                } else if (action instanceof Send s) {
                    serve(rank, s);
                }
            }
        }

        /** A backend works off one request after the other, and turns away what would wait too long. */
        private void serve(int rank, Send send) {
            Backend to = backends.get(send.backend());
            countCold(to);
            int attempt = attempts.merge(send.id(), 1, Integer::sum) - 1;
            long begin = Math.max(now, freeAt.getOrDefault(to.id(), 0L));
            long service = (long) (SERVICE_US * (0.5 + random.nextDouble()) / capacityPart(to));
            boolean full = begin - now > 10 * SERVICE_US;
            long endsAt = full ? now + MS : begin + service;
            boolean late = endsAt > now + send.timeoutUs();
            if (!full) {
                freeAt.put(to.id(), endsAt);
            }
            Outcome outcome = late ? Outcome.TIMEOUT : full ? Outcome.FULL : Outcome.OK;
            long latency = Math.min(send.timeoutUs(), endsAt - now);
            at(
                    now + latency,
                    () -> handle(
                            rank,
                            new AttemptEnded(send.id(), attempt, to.id(), outcome, latency, outcome == Outcome.OK)));
        }

        private double capacityPart(Backend b) {
            return b.startedAtUs() == 0
                    ? 1
                    : RULES.coldFrom() + (1 - RULES.coldFrom()) * (now - b.startedAtUs()) / RULES.coldUs();
        }

        private double allowed(Backend b) {
            return RULES.fallMultiple() * capacityPart(b) * RULES.fallUs() / SERVICE_US;
        }

        private void countCold(Backend b) {
            if (b.startedAtUs() == 0) {
                return;
            }
            List<Long> sends = coldSends.computeIfAbsent(b.id(), id -> new ArrayList<>());
            sends.add(now);
            long inWindow =
                    sends.stream().filter(time -> time > now - RULES.fallUs()).count();
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
            double part = RULES.coldFrom() + (1 - RULES.coldFrom()) * (halfway - STARTED_AT) / RULES.coldUs();
            return sent * SERVICE_US / (2 * (size / RESTARTED) * RULES.fallMultiple() * part * (END - BURST_AT));
        }
    }
}
