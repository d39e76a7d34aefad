package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointIn;
import static gaugegw.balancer.testing.TestEndpoints.endpointInState;
import static gaugegw.balancer.testing.TestEndpoints.endpointStartedAt;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.PAY;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.limits;
import static gaugegw.balancer.testing.TestSettings.readOnlySettings;
import static gaugegw.balancer.testing.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Action.Fail;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.Tenant;
import gaugegw.balancer.api.UpdateKind;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What happens when more comes than the backends can do. */
class AdmissionControlTest {
    private final LoadBalancerDriver proxy = new LoadBalancerDriver();

    @Test
    void moreThanTheLimitIsHeldAndThenRefusedAtOnce() {
        proxy.snapshot(endpoint("a"), endpoint("b"));
        for (int i = 0; i < 100; i++) {
            proxy.submit(READ);
        }
        long sent =
                proxy.actions.stream().filter(a -> a instanceof StartAttempt).count();
        long refused = proxy.actions.stream().filter(a -> a instanceof Reject).count();
        assertThat(sent).isBetween(2L, 10L);
        assertThat(refused).isBetween(80L, 96L);
        assertThat(sent + refused).isLessThan(100);
    }

    @Test
    void theDearestHeldRequestGoesFirst() {
        proxy.snapshot(endpoint("a"));
        var sent = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            sent.add(proxy.submit(READ));
        }
        String read = proxy.submit(READ);
        String pay = proxy.submit(PAY);
        assertThat(proxy.attemptCount(read) + proxy.attemptCount(pay)).isZero();
        proxy.endAttempt(sent.get(0), AttemptOutcome.SUCCESS, 30 * MILLIS);
        assertThat(proxy.attemptCount(pay)).isEqualTo(1);
        assertThat(proxy.attemptCount(read)).isZero();
    }

    @Test
    void theLeastWorthIsRefusedFirst() {
        proxy.snapshot(endpoint("a"));
        for (int i = 0; i < 20; i++) {
            proxy.submit(READ);
        }
        String pay = proxy.submit(PAY);
        assertThat(proxy.hasEmitted(new Reject(pay, 0))).isFalse();
        assertThat(proxy.hasEmitted(new Fail(pay))).isFalse();
    }

    /** A client that is told when to come back doesn't come back into the crowd that it was turned away from. */
    @Test
    void aRefusalTellsWhenThereMayBeRoom() {
        long most = 700 * MILLIS;
        var p = new LoadBalancerDriver(
                settings().limits(limits().maxRetryAfterUs(most).build()).build());
        p.snapshot(endpoint("a"));
        for (int i = 0; i < 20; i++) {
            p.submit(READ);
        }
        var hints = p.actions.stream()
                .filter(a -> a instanceof Reject)
                .map(a -> ((Reject) a).retryAfterUs())
                .toList();
        assertThat(hints)
                .hasSizeGreaterThan(5)
                .doesNotHaveDuplicates()
                .allSatisfy(hint -> assertThat(hint).isBetween(60 * MILLIS, most));
    }

    @Test
    void aTenantPastItsShareGivesWay() {
        var p = new LoadBalancerDriver(settings()
                .tenants(new Tenant("greedy", 1), new Tenant("modest", 1000))
                .build());
        p.snapshot(endpoint("a"));
        p.nowUs += 10_000 * MILLIS;
        var held = new ArrayList<String>();
        for (int i = 0; i < 60; i++) {
            held.add(p.submit(READ, "greedy"));
        }
        String modest = p.submit(READ, "modest");
        String first =
                held.stream().filter(id -> p.attemptCount(id) == 1).findFirst().orElseThrow();
        p.endAttempt(first, AttemptOutcome.SUCCESS, 30 * MILLIS);
        p.endAttempt(
                held.stream()
                        .filter(id -> p.attemptCount(id) == 1)
                        .skip(1)
                        .findFirst()
                        .orElseThrow(),
                AttemptOutcome.SUCCESS,
                30 * MILLIS);
        assertThat(p.attemptCount(modest)).isEqualTo(1);
    }

    @Test
    void theLimitFollowsTheRateOfAnswers() {
        proxy.snapshot(endpoint("a"), endpoint("b"));
        for (int round = 0; round < 600; round++) {
            proxy.nowUs += 5 * MILLIS;
            for (String id : List.of(proxy.submit(READ), proxy.submit(READ))) {
                if (proxy.attemptCount(id) > 0) {
                    proxy.endAttempt(id, AttemptOutcome.SUCCESS, MILLIS);
                }
            }
        }
        int before = proxy.actions.size();
        for (int i = 0; i < 100; i++) {
            proxy.submit(READ);
        }
        long sent = proxy.actions.subList(before, proxy.actions.size()).stream()
                .filter(a -> a instanceof StartAttempt)
                .count();
        // 400 answers a second, and a fifth of the shortest aim (400 ms).
        assertThat(sent).isBetween(25L, 35L);
    }

    /** One answer in fifty never comes, whoever was to give it: what hangs must not take the room of all the others. */
    @Test
    void attemptsThatHangDoNotCrowdOutTheOthers() {
        proxy.snapshot(IntStream.range(0, 10).mapToObj(i -> endpoint("b" + i)).toArray(Endpoint[]::new));
        int refused = 0;
        for (int i = 0; i < 3000; i++) {
            proxy.nowUs += 5 * MILLIS;
            String id = proxy.submit(READ);
            if (i % 50 != 0 && proxy.attemptCount(id) > 0) {
                proxy.endAttempt(id, AttemptOutcome.SUCCESS, 5 * MILLIS);
            }
            refused += i >= 1000 && proxy.actions.get(proxy.actions.size() - 1) instanceof Reject ? 1 : 0;
        }
        assertThat(refused).isLessThan(100);
    }

    /** Also while the list changes each second, as in a release: faster than the weights are set. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLoneProxyKeepsItsBackendsBusyWhenUnqueuedWorkFillsTheLimit(boolean listChangesEachSecond) {
        // One of three, the others gone. An answer takes 200 ms without a queue, more than a fifth of the shortest aim.
        var p = new LoadBalancerDriver(
                readOnlySettings().proxy(0, 3).requestClasses(READ, PAY).build());
        p.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        record Sent(String id, long at) {}
        var out = new java.util.ArrayDeque<Sent>();
        int seen = 0;
        int inLastSecond = 0;
        for (int step = 0; step < 3000; step++) {
            p.nowUs += 20 * MILLIS;
            if (listChangesEachSecond && step % 50 == 0) {
                var gone = endpointInState("other" + step, EndpointState.GONE);
                p.handle(new Event.EndpointUpdate(UpdateKind.DELTA, List.of(gone)));
            }
            p.submit(READ);
            for (; seen < p.actions.size(); seen++) {
                if (p.actions.get(seen) instanceof StartAttempt s) {
                    out.add(new Sent(s.requestId(), p.nowUs));
                    inLastSecond += step >= 2950 ? 1 : 0;
                }
            }
            while (!out.isEmpty() && out.peek().at() + 200 * MILLIS <= p.nowUs) {
                p.endAttempt(out.remove().id(), AttemptOutcome.SUCCESS, 200 * MILLIS);
            }
        }
        // Fifty came in; three at a time would be fifteen.
        assertThat(inLastSecond).isGreaterThan(45);
    }

    @Test
    void twelveProxiesTogetherHoldNoMoreThanOne() {
        var alone = new LoadBalancerDriver();
        var oneOfTwelve = new LoadBalancerDriver(readOnlySettings().proxy(0, 12).build());
        var backends = new Endpoint[24];
        for (int i = 0; i < backends.length; i++) {
            backends[i] = endpoint("s" + i);
        }
        assertThat(burst(oneOfTwelve, backends)).isBetween(1L, burst(alone, backends) / 6);
    }

    @Test
    void aBackendThatIsStuckGathersAttemptsOfAFewProxiesOnly() {
        var backends = new Endpoint[24];
        var gathered = new java.util.HashMap<String, Integer>();
        for (int i = 0; i < backends.length; i++) {
            backends[i] = endpointIn("s" + i, i % 2 == 0 ? "a" : "b", 1);
        }
        for (int rank = 0; rank < 12; rank++) {
            var p = new LoadBalancerDriver(
                    readOnlySettings().proxy(rank, 12).seed(rank).build());
            p.snapshot(backends);
            for (int i = 0; i < 6; i++) {
                gathered.merge(p.lastAttempt(p.submit(READ)).endpointId(), 1, Integer::sum);
            }
        }
        assertThat(gathered)
                .hasSize(24)
                .allSatisfy((id, proxies) -> assertThat(proxies).isEqualTo(3));
    }

    @Test
    void aHeldRequestIsGivenUpWhileItCouldStillBeAnsweredInTime() {
        proxy.snapshot(endpoint("a"));
        for (int i = 0; i < 3; i++) {
            proxy.submit(READ);
        }
        String held = proxy.submit(READ);
        // Its aim is 600 ms away; an attempt may take 0.4 of the shortest aim, 400 ms.
        proxy.advance(439 * MILLIS);
        assertThat(proxy.hasEmitted(new Action.Reject(held, 0))).isFalse();
        proxy.advance(1 * MILLIS);
        assertThat(proxy.hasEmitted(new Action.Reject(held, 0))).isTrue();
    }

    @Test
    void roomIsNotGivenToARepeatThatIsLateAlready() {
        proxy.snapshot(endpoint("a"));
        for (int i = 0; i < 4; i++) {
            String id = "first" + i;
            proxy.handle(new Event.RequestArrived(id, "read", null, null, 1800 * MILLIS, false));
        }
        assertThat(proxy.attemptCount("first2")).isEqualTo(1);
        assertThat(proxy.attemptCount("first3")).isZero();
        // 1.2 s of 2 s are left, so the client began 0.8 s ago; its aim was 0.6 s.
        proxy.handle(new Event.RequestArrived("late", "read", null, null, 1200 * MILLIS, true));
        // As much patience as first tries have: nothing is known of when it began.
        proxy.handle(new Event.RequestArrived("again", "read", null, null, 1800 * MILLIS, true));
        assertThat(proxy.hasEmitted(new Action.Reject("late", 0))).isTrue();
        proxy.endAttempt("first0", AttemptOutcome.SUCCESS, MILLIS);
        proxy.endAttempt("first1", AttemptOutcome.SUCCESS, MILLIS);
        assertThat(proxy.attemptCount("again")).isEqualTo(1);
        // With room to spare it is still served.
        proxy.nowUs += 100 * MILLIS;
        proxy.endAttempt("first2", AttemptOutcome.SUCCESS, MILLIS);
        proxy.endAttempt("first3", AttemptOutcome.SUCCESS, MILLIS);
        proxy.endAttempt("again", AttemptOutcome.SUCCESS, MILLIS);
        proxy.handle(new Event.RequestArrived("idle", "read", null, null, 1200 * MILLIS, true));
        assertThat(proxy.attemptCount("idle")).isEqualTo(1);
    }

    @Test
    void roomGoesToARequestWhoseKeyIsAtHomeThere() {
        var p = new LoadBalancerDriver(
                readOnlySettings().proxy(0, 3).cacheAffinity(true).build());
        p.snapshot(endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d"), endpoint("e"), endpoint("f"));
        String[] key = new String[60];
        var home = new java.util.HashMap<String, String>();
        for (int i = 0; i < key.length; i++) {
            key[i] = "key" + i;
            p.handle(new Event.RequestArrived("probe" + i, "read", null, key[i], 2 * SECONDS, false));
            home.put(key[i], p.lastAttempt("probe" + i).endpointId());
            p.endAttempt("probe" + i, AttemptOutcome.SUCCESS, MILLIS);
        }
        p.nowUs += 20 * SECONDS;
        var out = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            out.add(p.submit(READ));
        }
        String freed = p.lastAttempt(out.get(0)).endpointId();
        String other = java.util.Arrays.stream(key)
                .filter(k -> !home.get(k).equals(freed))
                .findFirst()
                .orElseThrow();
        String fits = java.util.Arrays.stream(key)
                .filter(k -> home.get(k).equals(freed))
                .findFirst()
                .orElseThrow();
        p.handle(new Event.RequestArrived("other", "read", null, other, 2 * SECONDS, false));
        p.nowUs += MILLIS;
        p.handle(new Event.RequestArrived("fits", "read", null, fits, 2 * SECONDS, false));
        assertThat(p.attemptCount("other") + p.attemptCount("fits")).isZero();
        p.endAttempt(out.get(0), AttemptOutcome.SUCCESS, MILLIS);
        assertThat(p.attemptCount("fits")).isEqualTo(1);
        assertThat(p.attemptCount("other")).isZero();
    }

    /** One of 400 proxies at 60 backends: its part of what all may have out is 3 x 60 / 400, under half an attempt. */
    private static LoadBalancerDriver oneOfHundreds(int rank, RequestClass... classes) {
        var all = classes.length == 0 ? List.of(READ) : List.of(classes);
        var p = new LoadBalancerDriver(readOnlySettings()
                .proxy(rank, 400)
                .requestClasses(all)
                .seed(rank)
                .build());
        p.snapshot(java.util.stream.IntStream.range(0, 60)
                .mapToObj(i -> endpoint("s" + i))
                .toArray(Endpoint[]::new));
        p.advance(5 * SECONDS);
        return p;
    }

    @Test
    void oneOfHundredsOfProxiesSendsBesideASlowAttempt() {
        var p = oneOfHundreds(0);
        p.serve(READ, 20 * MILLIS);
        p.submit(READ);
        p.advance(300 * MILLIS);
        assertThat(p.attemptCount(p.submit(READ))).isEqualTo(1);
    }

    @Test
    void oneOfHundredsOfProxiesKeepsToItsLimitInTheMeanAndGoesOnInTime() {
        var p = oneOfHundreds(0);
        var sentAt = new java.util.HashMap<String, Long>();
        var ended = new java.util.HashSet<String>();
        for (int step = 0; step < 500; step++) {
            if (step % 5 == 0) {
                p.submit(READ);
            }
            p.advance(50 * MILLIS);
            p.actions.stream()
                    .filter(a -> a instanceof StartAttempt)
                    .forEach(a -> sentAt.putIfAbsent(((StartAttempt) a).requestId(), p.nowUs));
            for (String id : List.copyOf(sentAt.keySet())) {
                if (p.nowUs - sentAt.get(id) >= 250 * MILLIS && ended.add(id)) {
                    p.endAttempt(id, AttemptOutcome.SUCCESS, 250 * MILLIS);
                }
            }
        }
        // In the mean of 25 s 2 to 4 x 60 / 400 may be out, and what a refresh of 1.2 s has saved up.
        assertThat(sentAt.size()).isBetween(25 * 3 / 10 * 4, 27 * 6 / 10 * 4);
    }

    @Test
    void oneOfHundredsThatRefusesMuchKeepsLessOut() {
        var calm = oneOfHundreds(0);
        var crowded = oneOfHundreds(0);
        for (int i = 0; i < 100; i++) {
            crowded.submit(READ);
        }
        assertThat(sentIn(crowded)).isLessThan(sentIn(calm));
    }

    /** Sends in ten seconds with a request every 400 ms that takes all of them. */
    private static long sentIn(LoadBalancerDriver p) {
        p.advance(10 * SECONDS);
        long before = p.actions.stream().filter(a -> a instanceof StartAttempt).count();
        for (int i = 0; i < 25; i++) {
            String id = p.submit(READ);
            p.advance(400 * MILLIS);
            if (p.attemptCount(id) > 0) {
                p.endAttempt(id, AttemptOutcome.ERROR, 400 * MILLIS);
            }
        }
        return p.actions.stream().filter(a -> a instanceof StartAttempt).count() - before;
    }

    @Test
    void aColdBackendGetsItsPartOfEveryProxyAndNotTooMuch() {
        int got = 0;
        for (int rank = 0; rank < 400; rank++) {
            var p = oneOfHundreds(rank);
            for (int i = 0; i < 50; i++) {
                p.serve(READ, 30 * MILLIS);
                p.advance(170 * MILLIS);
            }
            long from = p.nowUs;
            p.handle(new Event.EndpointUpdate(UpdateKind.DELTA, List.of(endpointStartedAt("new", from))));
            for (int i = 0; i < 25; i++) {
                got += p.serve(READ, 30 * MILLIS).equals("new") ? 1 : 0;
                p.advance(170 * MILLIS);
            }
        }
        // All serve 33 a second at each of 60 backends. In 5 s a new one starts at 40% of that and may get up to 4
        // times as much.
        assertThat(got).isBetween(5 * 33 * 4 / 10 / 2, 5 * 33 * 4 / 10 * 3);
    }

    @Test
    void oneOfHundredsOverdrawsForTheDearest() {
        var cheap = oneOfHundreds(0, READ, PAY);
        var dear = oneOfHundreds(0, READ, PAY);
        for (var p : List.of(cheap, dear)) {
            String slow = p.submit(READ);
            p.advance(2 * SECONDS);
            p.endAttempt(slow, AttemptOutcome.TIMEOUT, 2 * SECONDS);
        }
        assertThat(cheap.attemptCount(cheap.submit(READ))).isZero();
        assertThat(dear.attemptCount(dear.submit(PAY))).isEqualTo(1);
    }

    @Test
    void hundredsOfProxiesStandEvenlyAndFallBackToDifferentBackends() {
        var first = new java.util.HashMap<String, Integer>();
        var second = new java.util.HashMap<String, java.util.Set<String>>();
        for (int rank = 0; rank < 400; rank++) {
            var p = oneOfHundreds(rank);
            p.serve(READ, 20 * MILLIS);
            String stuckAt = p.lastAttempt(p.submit(READ)).endpointId();
            first.merge(stuckAt, 1, Integer::sum);
            p.advance(300 * MILLIS);
            second.computeIfAbsent(stuckAt, id -> new java.util.HashSet<>())
                    .add(p.lastAttempt(p.submit(READ)).endpointId());
        }
        assertThat(first)
                .hasSize(60)
                .allSatisfy((id, proxies) -> assertThat(proxies).isBetween(4, 9));
        assertThat(second)
                .allSatisfy((id, next) -> assertThat(next).doesNotContain(id).hasSizeGreaterThan(3));
    }

    @Test
    void oneOfHundredsWaitsForABackendThatIsMerelyBusy() {
        var p = oneOfHundreds(0);
        String home = p.serve(READ, 20 * MILLIS);
        String busy = p.submit(READ);
        p.nowUs += MILLIS;
        String next = p.submit(READ);
        assertThat(p.attemptCount(next)).isZero();
        p.endAttempt(busy, AttemptOutcome.SUCCESS, MILLIS);
        assertThat(p.lastAttempt(next).endpointId()).isEqualTo(home);
    }

    @Test
    void oneOfHundredsHoldsNoMoreThanItCanSoonSend() {
        var p = oneOfHundreds(0);
        p.submit(READ);
        String held = p.submit(READ);
        String tooMany = p.submit(READ);
        assertThat(p.hasEmitted(new Action.Reject(tooMany, 0))).isTrue();
        assertThat(p.hasEmitted(new Action.Reject(held, 0))).isFalse();
    }

    @Test
    void oneOfHundredsTurnsToTheNextBackendInTimeForItsAim() {
        var p = oneOfHundreds(0);
        for (int i = 0; i < 20; i++) {
            p.serve(READ, 200 * MILLIS);
            p.advance(SECONDS);
        }
        String busy = p.submit(READ);
        p.nowUs += MILLIS;
        String next = p.submit(READ);
        // Its aim is 600 ms: 0.4 of that is 240.
        p.advance(230 * MILLIS);
        assertThat(p.attemptCount(next)).isZero();
        p.advance(50 * MILLIS);
        assertThat(p.lastAttempt(next).endpointId())
                .isNotEqualTo(p.lastAttempt(busy).endpointId());
    }

    @Test
    void aBackendFoundSlowIsLeftForAWhile() {
        var p = oneOfHundreds(0);
        for (int i = 0; i < 300; i++) {
            p.serve(READ, 20 * MILLIS);
            p.advance(100 * MILLIS);
        }
        String slow = p.serve(READ, 20 * MILLIS);
        for (int i = 0; i < 40; i++) {
            String id = p.submit(READ);
            long latency = p.lastAttempt(id).endpointId().equals(slow) ? 400 * MILLIS : 20 * MILLIS;
            p.nowUs += latency;
            p.endAttempt(id, AttemptOutcome.SUCCESS, latency);
            p.advance(200 * MILLIS);
        }
        assertThat(p.serve(READ, 20 * MILLIS)).isNotEqualTo(slow);
        for (int i = 0; i < 30; i++) {
            p.serve(READ, 20 * MILLIS);
            p.advance(2 * SECONDS);
        }
        assertThat(p.serve(READ, 20 * MILLIS))
                .as("its own answers are forgotten in time")
                .isEqualTo(slow);
    }

    private static long burst(LoadBalancerDriver p, Endpoint... backends) {
        p.snapshot(backends);
        for (int i = 0; i < 100; i++) {
            p.submit(READ);
        }
        return p.actions.stream().filter(a -> a instanceof StartAttempt).count();
    }

    @Test
    void anAttemptIsCutOffSoonAfterItsAimWhereALateAnswerIsWorthNothing() {
        var p = oneOfHundreds(0);
        String id = p.submit(READ);
        assertThat(p.lastAttempt(id).timeoutUs()).isBetween(READ.latencyObjectiveUs(), READ.deadlineUs() * 2 / 3);
    }

    @Test
    void oneOfHundredsThatIsFarBusierUsesMoreThanOneBackend() {
        assertThat(backendsUsed(1)).isEqualTo(1);
        assertThat(backendsUsed(4)).isBetween(3L, 8L);
    }

    /** Backends that got something from a proxy that keeps so many requests of 100 ms out, once it has settled. */
    private static long backendsUsed(int together) {
        var p = oneOfHundreds(0);
        int before = 0;
        for (int i = 0; i < 200; i++) {
            before = i == 150 ? p.actions.size() : before;
            var out = new ArrayList<String>();
            for (int n = 0; n < together; n++) {
                out.add(p.submit(READ));
            }
            p.advance(100 * MILLIS);
            out.stream()
                    .filter(id -> p.attemptCount(id) > 0)
                    .forEach(id -> p.endAttempt(id, AttemptOutcome.SUCCESS, 100 * MILLIS));
            p.advance(together == 1 ? 200 * MILLIS : 0);
        }
        return p.actions.subList(before, p.actions.size()).stream()
                .filter(a -> a instanceof StartAttempt)
                .map(a -> ((StartAttempt) a).endpointId())
                .distinct()
                .count();
    }
}
