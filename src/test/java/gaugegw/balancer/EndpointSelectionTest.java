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
import static gaugegw.balancer.testing.TestSettings.minimalSettings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.Event.RequestArrived;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Earliest deadline first over the endpoints, and the weights that it goes by. */
class EndpointSelectionTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /** The deadline of an endpoint is the number of its next turn over its weight; the earliest is next. */
    @Test
    void followsTheEarliestDeadlineOrder() {
        driver.snapshot(
                endpointBuilder("d1").kind("one").build(),
                endpointBuilder("d2").kind("two").weight(2).build());
        var order = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            String id = driver.submit(READ);
            order.add(driver.lastAttempt(id).endpointId());
            driver.endAttempt(id, AttemptOutcome.SUCCESS, MILLIS);
        }
        // Deadlines 1/1 and 1/2: d2; then 1/1 and 2/2, a tie that the first listed wins; then 2/1 and 2/2: d2.
        assertThat(order).containsExactly("d2", "d1", "d2");
    }

    /** One kind of machine answers in half the time of the other. It gets twice the requests. */
    @Test
    void fasterKindGetsMoreInProportionToItsSpeed() {
        driver.snapshot(endpointOfKind("fast", "f"), endpointOfKind("slow", "s"));
        for (int i = 0; i < 200; i++) {
            serveAtTheSpeedOfItsKind();
        }
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            turns.merge(serveAtTheSpeedOfItsKind(), 1, Integer::sum);
        }
        assertThat(turns.get("fast") / (double) turns.get("slow")).isBetween(1.8, 2.2);
    }

    private String serveAtTheSpeedOfItsKind() {
        String id = driver.submit(READ);
        long latency = driver.lastAttempt(id).endpointId().equals("fast") ? 10 * MILLIS : 20 * MILLIS;
        driver.nowUs += latency;
        driver.endAttempt(id, AttemptOutcome.SUCCESS, latency);
        return driver.lastAttempt(id).endpointId();
    }

    @Test
    void equalEndpointsTakeTurns() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        var order = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            order.add(driver.serve(READ, MILLIS));
        }
        assertThat(order.subList(0, 3)).containsExactlyInAnyOrder("a", "b", "c").isEqualTo(order.subList(3, 6));
    }

    /**
     * An endpoint joins after the others have had many turns. If its own count began at zero, it would get every
     * request until it had caught up, a burst that can overload it.
     */
    @Test
    void newEndpointDoesNotMakeUpForMissedTurns() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        for (int i = 0; i < 20; i++) {
            driver.serve(READ, MILLIS);
        }
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        var next = List.of(driver.serve(READ, MILLIS), driver.serve(READ, MILLIS), driver.serve(READ, MILLIS));
        assertThat(next).containsExactlyInAnyOrder("a", "b", "c");
    }

    /**
     * One endpoint answers ten times as slowly as others of its kind. With equal turns it would delay a third of
     * all requests. It gets less than half of the requests of the others.
     */
    @Test
    void endpointSlowerThanItsKindLosesWeight() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("lame"));
        Map<String, Integer> turns = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = driver.submit(READ);
            String endpointId = driver.lastAttempt(id).endpointId();
            turns.merge(endpointId, 1, Integer::sum);
            long latency = endpointId.equals("lame") ? 200 * MILLIS : 20 * MILLIS;
            driver.nowUs += latency;
            driver.endAttempt(id, AttemptOutcome.SUCCESS, latency);
        }
        assertThat(turns.get("lame")).isLessThan(turns.get("a") / 2);
    }

    /**
     * An endpoint accepts requests and never answers. Turns alone would send it every second request. It has no
     * more in flight than its share, and the rest goes to the endpoint that answers.
     */
    @Test
    void silentEndpointHasNoMoreInFlightThanItsShare() {
        driver.snapshot(endpoint("a"), endpoint("hung"));
        int unanswered = 0;
        for (int i = 0; i < 50; i++) {
            String id = driver.submit(READ);
            if (driver.lastAttempt(id).endpointId().equals("hung")) {
                unanswered++;
            } else {
                driver.nowUs += 10 * MILLIS;
                driver.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
            }
        }
        assertThat(unanswered).isEqualTo(1);
    }

    /**
     * Endpoints serve a key that they have cached at less work, but proxies do not know of one another's requests.
     * All proxies must choose the same endpoint for a key, whatever their seed, and another one only while
     * that endpoint is busy.
     */
    @Test
    void keyGoesToTheEndpointThatAllProxiesChooseForIt() {
        var endpoints = new Endpoint[] {endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d")};
        var endpointOfKey = new HashMap<String, String>();
        for (long seed = 1; seed <= 3; seed++) {
            var proxy = new LoadBalancerDriver(
                    minimalSettings().proxy(0, 3).cacheAffinity(true).seed(seed).build());
            proxy.snapshot(endpoints);
            for (int i = 0; i < 40; i++) {
                String key = "key" + i;
                proxy.handle(new RequestArrived("k" + i, "read", null, key, 2 * SECONDS, false));
                String endpointId = proxy.lastAttempt("k" + i).endpointId();
                assertThat(endpointOfKey.putIfAbsent(key, endpointId)).isIn(null, endpointId);
                if (i % 4 != 0) {
                    proxy.endAttempt("k" + i, AttemptOutcome.SUCCESS, MILLIS);
                } else {
                    proxy.handle(new RequestArrived("again" + i, "read", null, key, 2 * SECONDS, false));
                    assertThat(proxy.lastAttempt("again" + i).endpointId()).isNotEqualTo(endpointId);
                    proxy.endAttempt("again" + i, AttemptOutcome.SUCCESS, MILLIS);
                    proxy.endAttempt("k" + i, AttemptOutcome.SUCCESS, MILLIS);
                }
            }
        }
        assertThat(endpointOfKey.values()).contains("a", "b", "c", "d");
    }

    /**
     * Attempts that cross zones cost more. The endpoint of the own zone gets four times the turns of an equal one
     * in another zone; once it is busy, requests go to the other zone.
     */
    @Test
    void ownZoneIsPreferredWhileItHasCapacity() {
        driver.snapshot(endpointIn("far", "b", 2), endpointIn("near", "a", 1));
        int near = 0;
        for (int i = 0; i < 10; i++) {
            near += driver.serve(READ, MILLIS).equals("near") ? 1 : 0;
        }
        assertThat(near).as("four times the turns, not all").isEqualTo(8);
        driver.submit(READ);
        driver.submit(READ);
        String third = driver.submit(READ);
        String fourth = driver.submit(READ);
        assertThat(List.of(
                        driver.lastAttempt(third).endpointId(),
                        driver.lastAttempt(fourth).endpointId()))
                .contains("far");
    }

    /**
     * Two load balancers with equal settings get equal events. Their actions are equal: nothing depends on the
     * order of a hash table or on a clock of its own.
     */
    @Test
    void equalEventsGiveEqualActions() {
        var other = new LoadBalancerDriver();
        for (LoadBalancerDriver each : List.of(driver, other)) {
            each.snapshot(
                    endpoint("a"),
                    endpointBuilder("b").kind("k").zone("b").cell(2).build(),
                    endpointStartedAt("c", each.nowUs - SECONDS));
            for (int i = 0; i < 300; i++) {
                each.serve(i % 3 == 0 ? PAY : READ, (i * 7919L % 40 + 1) * MILLIS);
            }
        }
        assertThat(driver.actions).isEqualTo(other.actions);
    }
}
