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

/** Tests the selection of endpoints by earliest deadline, and the weights that the deadlines are computed from. */
class EndpointSelectionTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /** The endpoint with the earliest deadline, (number of attempts so far + 1) / weight, is selected. */
    @Test
    void endpointWithTheEarliestDeadlineIsSelected() {
        driver.snapshot(
                endpointBuilder("d1").kind("one").build(),
                endpointBuilder("d2").kind("two").weight(2).build());
        var order = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            String id = driver.submit(READ);
            order.add(driver.lastAttempt(id).endpointId());
            driver.endAttempt(id, AttemptOutcome.SUCCESS, MILLIS);
        }
        // Deadlines of d1 and d2: first 1/1 and 1/2, so d2; then 1/1 and 2/2, a tie that d1 wins as the first in the
        // proxy's order; then 2/1 and 2/2, so d2.
        assertThat(order).containsExactly("d2", "d1", "d2");
    }

    /** One kind of machine responds in half the time of another kind and must get twice as many requests. */
    @Test
    void kindsGetRequestsInProportionToTheirSpeed() {
        driver.snapshot(endpointOfKind("fast", "f"), endpointOfKind("slow", "s"));
        for (int i = 0; i < 200; i++) {
            serveWithLatencyOfItsKind();
        }
        Map<String, Integer> requestsByEndpoint = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            requestsByEndpoint.merge(serveWithLatencyOfItsKind(), 1, Integer::sum);
        }
        assertThat(requestsByEndpoint.get("fast") / (double) requestsByEndpoint.get("slow"))
                .isBetween(1.8, 2.2);
    }

    private String serveWithLatencyOfItsKind() {
        String id = driver.submit(READ);
        long latency = driver.lastAttempt(id).endpointId().equals("fast") ? 10 * MILLIS : 20 * MILLIS;
        driver.nowUs += latency;
        driver.endAttempt(id, AttemptOutcome.SUCCESS, latency);
        return driver.lastAttempt(id).endpointId();
    }

    @Test
    void equalEndpointsAreSelectedInTurn() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        var order = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            order.add(driver.serve(READ, MILLIS));
        }
        assertThat(order.subList(0, 3)).containsExactlyInAnyOrder("a", "b", "c").isEqualTo(order.subList(3, 6));
    }

    /**
     * An endpoint is added after the others have served many requests. If its virtual time started at zero while the
     * others kept theirs, it would get every request until it had caught up, a burst that can overload it.
     */
    @Test
    void addedEndpointGetsNoBurstOfRequests() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        for (int i = 0; i < 20; i++) {
            driver.serve(READ, MILLIS);
        }
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        var next = List.of(driver.serve(READ, MILLIS), driver.serve(READ, MILLIS), driver.serve(READ, MILLIS));
        assertThat(next).containsExactlyInAnyOrder("a", "b", "c");
    }

    /**
     * One endpoint takes ten times as long to respond as others of its kind. With an equal share it would delay a
     * third of all requests, so it must get less than half as many requests as another endpoint.
     */
    @Test
    void endpointSlowerThanItsKindLosesWeight() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("lame"));
        Map<String, Integer> requestsByEndpoint = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = driver.submit(READ);
            String endpointId = driver.lastAttempt(id).endpointId();
            requestsByEndpoint.merge(endpointId, 1, Integer::sum);
            long latency = endpointId.equals("lame") ? 200 * MILLIS : 20 * MILLIS;
            driver.nowUs += latency;
            driver.endAttempt(id, AttemptOutcome.SUCCESS, latency);
        }
        assertThat(requestsByEndpoint.get("lame")).isLessThan(requestsByEndpoint.get("a") / 2);
    }

    /**
     * One of two endpoints accepts requests but never responds. By deadline alone, it would get half of the requests.
     * It must have no more attempts in flight than its fair share; the other requests go to the responsive endpoint.
     */
    @Test
    void unresponsiveEndpointHasNoMoreInFlightThanItsShare() {
        driver.snapshot(endpoint("a"), endpoint("hung"));
        int attemptsAtHung = 0;
        for (int i = 0; i < 50; i++) {
            String id = driver.submit(READ);
            if (driver.lastAttempt(id).endpointId().equals("hung")) {
                attemptsAtHung++;
            } else {
                driver.nowUs += 10 * MILLIS;
                driver.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
            }
        }
        assertThat(attemptsAtHung).isEqualTo(1);
    }

    /**
     * An endpoint needs less work for a key that it has cached, but a proxy does not know which keys other proxies have
     * requested there. Proxies with different seeds must select the same endpoint for a key, and another endpoint only
     * while that one is busy.
     */
    @Test
    void proxiesWithDifferentSeedsSelectTheSameEndpointForAKey() {
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
     * Attempts that cross zones cost more. An endpoint in the proxy's own zone gets four times as many requests as an
     * equal one in another zone. Once it is busy, requests go to the other zone.
     */
    @Test
    void endpointInTheSameZoneIsPreferredUntilItIsBusy() {
        driver.snapshot(endpointIn("far", "b", 2), endpointIn("near", "a", 1));
        int near = 0;
        for (int i = 0; i < 10; i++) {
            near += driver.serve(READ, MILLIS).equals("near") ? 1 : 0;
        }
        assertThat(near).as("requests in the same zone: four of five, not all").isEqualTo(8);
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
     * Two load balancers with equal settings must respond to equal events with equal actions. They would differ if a
     * decision depended on the iteration order of a hash table or on a clock.
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
