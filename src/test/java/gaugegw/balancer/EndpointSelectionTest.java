package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointBuilder;
import static gaugegw.balancer.testing.TestEndpoints.endpointIn;
import static gaugegw.balancer.testing.TestEndpoints.endpointOfKind;
import static gaugegw.balancer.testing.TestEndpoints.endpointStartedAt;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.PAY;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.VOTE;
import static gaugegw.balancer.testing.TestSettings.readOnlySettings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.Event;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The earliest-deadline order and its weights. */
class EndpointSelectionTest {
    private final LoadBalancerDriver proxy = new LoadBalancerDriver();

    @Test
    void worksThePapersTwoEndpointExample() {
        proxy.snapshot(
                endpointBuilder("d1").kind("one").build(),
                endpointBuilder("d2").kind("two").weight(2).build());
        var order = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            String id = proxy.submit(READ);
            order.add(proxy.lastAttempt(id).endpointId());
            proxy.endAttempt(id, AttemptOutcome.SUCCESS, MILLIS);
        }
        // Deadlines 1/1 and 1/2: d2; then 1/1 and 2/2, a tie that the first listed takes; then 2/1 and 2/2: d2.
        assertThat(order).containsExactly("d2", "d1", "d2");
    }

    @Test
    void fasterKindsGetMoreInProportionToTheirSpeed() {
        proxy.snapshot(endpointOfKind("fast", "f"), endpointOfKind("slow", "s"));
        for (int i = 0; i < 200; i++) {
            serveAtSpeed();
        }
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            turns.merge(serveAtSpeed(), 1, Integer::sum);
        }
        assertThat(turns.get("fast") / (double) turns.get("slow")).isBetween(1.8, 2.2);
    }

    private String serveAtSpeed() {
        String id = proxy.submit(READ);
        long latency = proxy.lastAttempt(id).endpointId().equals("fast") ? 10 * MILLIS : 20 * MILLIS;
        proxy.nowUs += latency;
        proxy.endAttempt(id, AttemptOutcome.SUCCESS, latency);
        return proxy.lastAttempt(id).endpointId();
    }

    @Test
    void equalBackendsTakeTurns() {
        proxy.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        var order = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            order.add(proxy.serve(READ, MILLIS));
        }
        assertThat(order.subList(0, 3)).containsExactlyInAnyOrder("a", "b", "c").isEqualTo(order.subList(3, 6));
    }

    @Test
    void aNewBackendDoesNotGetTheTurnsItMissed() {
        proxy.snapshot(endpoint("a"), endpoint("b"));
        for (int i = 0; i < 20; i++) {
            proxy.serve(READ, MILLIS);
        }
        proxy.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        var next = List.of(proxy.serve(READ, MILLIS), proxy.serve(READ, MILLIS), proxy.serve(READ, MILLIS));
        assertThat(next).containsExactlyInAnyOrder("a", "b", "c");
    }

    @Test
    void aClassThatFailsAtABackendGoesElsewhereAndTheOthersStay() {
        proxy.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        Map<String, Integer> reads = new HashMap<>();
        int failed = 0;
        for (int i = 0; i < 300; i++) {
            reads.merge(proxy.serve(READ, 10 * MILLIS), 1, Integer::sum);
            String id = proxy.submit(VOTE);
            proxy.nowUs += 10 * MILLIS;
            boolean ill = proxy.lastAttempt(id).endpointId().equals("a");
            failed += ill ? 1 : 0;
            proxy.endAttempt(id, ill ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS, 10 * MILLIS);
            if (ill) {
                proxy.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
            }
        }
        // Six seconds: put off for 1.2, 2.4 and 4.8 of them.
        assertThat(failed).isBetween(2, 3);
        assertThat(reads.get("a")).isGreaterThan(60);
    }

    /** Where connections break now and then, whoever holds them, the backends that answer a class still get it all. */
    @Test
    void strayResetsDoNotSendAClassBackToWhereItFails() {
        proxy.snapshot(IntStream.range(0, 10).mapToObj(i -> endpoint("b" + i)).toArray(Endpoint[]::new));
        var chance = new Random(1);
        var out = new ArrayDeque<String>();
        int failed = 0;
        for (int i = 0; i < 2000; i++) {
            proxy.nowUs += 5 * MILLIS;
            out.add(proxy.submit(VOTE));
            String id = out.size() > 4 ? out.remove() : null;
            if (id == null || proxy.lastAttempt(id) == null) {
                continue;
            }
            boolean ill = proxy.lastAttempt(id).endpointId().compareTo("b4") >= 0 && chance.nextInt(10) < 7;
            failed += ill ? 1 : 0;
            proxy.endAttempt(
                    id,
                    chance.nextInt(14) == 0
                            ? AttemptOutcome.RESET
                            : ill ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS,
                    20 * MILLIS);
        }
        // Ten seconds: some to see it at each of the six, and some after each pause of 1.2, 2.4 and 4.8 s.
        assertThat(failed).isLessThan(150);
    }

    /** Where one answer in twenty is spoilt on its way, whoever gave it, that puts nobody off: the rest has its load. */
    @Test
    void errorsThatAreCommonEverywherePutNobodyOff() {
        proxy.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        Map<String, Integer> last = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = proxy.submit(READ);
            last.put(proxy.lastAttempt(id).endpointId(), i);
            proxy.nowUs += 10 * MILLIS;
            if (i % 20 == 19) {
                proxy.endAttempt(id, AttemptOutcome.ERROR, 10 * MILLIS);
            }
            proxy.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
            if (i > 300) {
                int now = i;
                assertThat(last)
                        .hasSize(3)
                        .allSatisfy((backend, sent) -> assertThat(now - sent).isLessThan(40));
            }
        }
    }

    @Test
    void aClassThatFailsEverywhereIsSentAllTheSame() {
        proxy.snapshot(endpoint("a"), endpoint("b"));
        for (int i = 0; i < 20; i++) {
            String id = proxy.submit(VOTE);
            assertThat(proxy.attemptCount(id)).isEqualTo(1);
            proxy.nowUs += 10 * MILLIS;
            proxy.endAttempt(id, AttemptOutcome.ERROR, 10 * MILLIS);
        }
    }

    @Test
    void aBackendSlowerThanItsKindLosesWeight() {
        proxy.snapshot(endpoint("a"), endpoint("b"), endpoint("lame"));
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = proxy.submit(READ);
            String to = proxy.lastAttempt(id).endpointId();
            turns.merge(to, 1, Integer::sum);
            long latency = to.equals("lame") ? 200 * MILLIS : 20 * MILLIS;
            proxy.nowUs += latency;
            proxy.endAttempt(id, AttemptOutcome.SUCCESS, latency);
        }
        assertThat(turns.get("lame")).isLessThan(turns.get("a") / 2);
    }

    @Test
    void aBackendThatDoesNotAnswerHoldsNoMoreThanItsShare() {
        proxy.snapshot(endpoint("a"), endpoint("hung"));
        int stuck = 0;
        for (int i = 0; i < 50; i++) {
            String id = proxy.submit(READ);
            if (proxy.lastAttempt(id).endpointId().equals("hung")) {
                stuck++;
            } else {
                proxy.nowUs += 10 * MILLIS;
                proxy.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
            }
        }
        assertThat(stuck).isEqualTo(1);
    }

    @Test
    void aKeyGoesWhereAllProxiesKeepItWarmWhileThatBackendHasRoom() {
        var backends = new Endpoint[] {endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d")};
        var homes = new HashMap<String, String>();
        for (long seed = 1; seed <= 3; seed++) {
            var p = new LoadBalancerDriver(readOnlySettings()
                    .proxy(0, 3)
                    .cacheAffinity(true)
                    .seed(seed)
                    .build());
            p.snapshot(backends);
            for (int i = 0; i < 40; i++) {
                String key = "key" + i;
                p.handle(new Event.RequestArrived("k" + i, "read", null, key, 2 * SECONDS, false));
                String to = p.lastAttempt("k" + i).endpointId();
                assertThat(homes.putIfAbsent(key, to)).isIn(null, to);
                if (i % 4 != 0) {
                    p.endAttempt("k" + i, AttemptOutcome.SUCCESS, MILLIS);
                } else {
                    p.handle(new Event.RequestArrived("again" + i, "read", null, key, 2 * SECONDS, false));
                    assertThat(p.lastAttempt("again" + i).endpointId()).isNotEqualTo(to);
                    p.endAttempt("again" + i, AttemptOutcome.SUCCESS, MILLIS);
                    p.endAttempt("k" + i, AttemptOutcome.SUCCESS, MILLIS);
                }
            }
        }
        assertThat(homes.values()).contains("a", "b", "c", "d");
    }

    @Test
    void theOwnZoneComesFirstWhileItHasRoom() {
        proxy.snapshot(endpointIn("far", "b", 2), endpointIn("near", "a", 1));
        int near = 0;
        for (int i = 0; i < 10; i++) {
            near += proxy.serve(READ, MILLIS).equals("near") ? 1 : 0;
        }
        assertThat(near).as("four times the turns, not all").isEqualTo(8);
        proxy.submit(READ);
        proxy.submit(READ);
        String third = proxy.submit(READ);
        String fourth = proxy.submit(READ);
        assertThat(List.of(
                        proxy.lastAttempt(third).endpointId(),
                        proxy.lastAttempt(fourth).endpointId()))
                .contains("far");
    }

    @Test
    void equalEventsGiveEqualActions() {
        var other = new LoadBalancerDriver();
        for (LoadBalancerDriver p : List.of(proxy, other)) {
            p.snapshot(
                    endpoint("a"),
                    endpointBuilder("b").kind("k").zone("b").cell(2).build(),
                    endpointStartedAt("c", p.nowUs - SECONDS));
            for (int i = 0; i < 300; i++) {
                p.serve(i % 3 == 0 ? PAY : READ, (i * 7919L % 40 + 1) * MILLIS);
            }
        }
        assertThat(proxy.actions).isEqualTo(other.actions);
    }

    @Test
    void aBackendThatCannotBeReachedIsTriedEverMoreSeldom() {
        var p = new LoadBalancerDriver();
        p.snapshot(endpoint("a"), endpoint("b"), endpoint("c"), endpoint("lost"));
        int tried = 0;
        for (int i = 0; i < 600; i++) {
            String id = p.submit(READ);
            p.nowUs += 10 * MILLIS;
            if (p.lastAttempt(id).endpointId().equals("lost")) {
                tried++;
                p.endAttempt(id, AttemptOutcome.CONNECT_FAILED, 10 * MILLIS);
            }
            p.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
        }
        // Six seconds: put off for 1.2, 2.4 and 4.8 of them.
        assertThat(tried).isBetween(2, 3);
    }

    @Test
    void ifNearlyNoneCanBeReachedAllAreTriedOn() {
        var p = new LoadBalancerDriver();
        p.snapshot(endpoint("a"), endpoint("b"));
        for (int i = 0; i < 20; i++) {
            String id = p.submit(VOTE);
            assertThat(p.attemptCount(id)).isPositive();
            for (int attempt = 0; attempt < 4; attempt++) {
                p.endAttempt(id, AttemptOutcome.CONNECT_FAILED, 10 * MILLIS);
            }
            p.nowUs += 10 * MILLIS;
        }
    }

    @Test
    void aBackendThatErrsAtTimesIsTriedOn() {
        var p = new LoadBalancerDriver();
        p.snapshot(endpoint("a"), endpoint("b"), endpoint("c"), endpoint("errs"));
        int toErring = 0;
        for (int i = 0; i < 4000; i++) {
            String id = p.submit(READ);
            p.nowUs += 10 * MILLIS;
            if (p.lastAttempt(id).endpointId().equals("errs") && toErring++ % 4 == 0) {
                p.endAttempt(id, AttemptOutcome.ERROR, 10 * MILLIS);
            }
            p.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
        }
        // Put off for the longest time after every error, it would get 17; all the others take 980 or more.
        assertThat(toErring).isBetween(30, 400);
    }
}
