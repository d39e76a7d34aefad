package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpointIn;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.minimalSettings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests how the proxies of a large fleet spread their requests over the endpoints. */
class LargeFleetSelectionTest {
    /**
     * If all proxies began with the same endpoint and it hung, an attempt of every proxy would hang there. Twelve
     * proxies that start six attempts each must spread them evenly over 24 endpoints.
     */
    @Test
    void firstAttemptsOfAllProxiesAreSpreadEvenly() {
        var endpoints = new Endpoint[24];
        var inFlight = new HashMap<String, Integer>();
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = endpointIn("s" + i, i % 2 == 0 ? "a" : "b", 1);
        }
        for (int index = 0; index < 12; index++) {
            var driver = new LoadBalancerDriver(
                    minimalSettings().proxy(index, 12).seed(index).build());
            driver.snapshot(endpoints);
            for (int i = 0; i < 6; i++) {
                inFlight.merge(driver.lastAttempt(driver.submit(READ)).endpointId(), 1, Integer::sum);
            }
        }
        assertThat(inFlight)
                .hasSize(24)
                .allSatisfy((id, attempts) -> assertThat(attempts).isEqualTo(3));
    }

    /**
     * Each proxy uses one endpoint at a time. The proxies must be spread evenly over the endpoints. When an endpoint
     * hangs, the proxies that use it must not all fall back to the same endpoint, which would then be overloaded.
     */
    @Test
    void proxiesSpreadEvenlyAndFallBackToDifferentEndpoints() {
        var proxiesByEndpoint = new HashMap<String, Integer>();
        var fallbacksByEndpoint = new HashMap<String, Set<String>>();
        for (int index = 0; index < 400; index++) {
            var proxy = LargeFleet.proxy(index);
            proxy.serve(READ, 20 * MILLIS);
            String hungEndpoint = proxy.lastAttempt(proxy.submit(READ)).endpointId();
            proxiesByEndpoint.merge(hungEndpoint, 1, Integer::sum);
            proxy.advance(300 * MILLIS);
            fallbacksByEndpoint
                    .computeIfAbsent(hungEndpoint, id -> new HashSet<>())
                    .add(proxy.lastAttempt(proxy.submit(READ)).endpointId());
        }
        assertThat(proxiesByEndpoint)
                .hasSize(60)
                .allSatisfy((id, proxies) -> assertThat(proxies).isBetween(4, 9));
        assertThat(fallbacksByEndpoint)
                .allSatisfy((id, fallbacks) ->
                        assertThat(fallbacks).doesNotContain(id).hasSizeGreaterThan(3));
    }

    /**
     * The endpoint that a proxy uses is briefly busy. A connection to another endpoint would take longer than the wait,
     * so the next request must be queued and then go to the same endpoint.
     */
    @Test
    void requestWaitsForAnEndpointThatIsBrieflyBusy() {
        var proxy = LargeFleet.proxy(0);
        String usualEndpoint = proxy.serve(READ, 20 * MILLIS);
        String inFlight = proxy.submit(READ);
        proxy.nowUs += MILLIS;
        String next = proxy.submit(READ);
        assertThat(proxy.attemptCount(next)).isZero();
        proxy.endAttempt(inFlight, AttemptOutcome.SUCCESS, MILLIS);
        assertThat(proxy.lastAttempt(next).endpointId()).isEqualTo(usualEndpoint);
    }

    /**
     * The endpoint that a proxy uses stays busy. A queued request must go to another endpoint after 0.4 of its latency
     * objective, because a longer wait would make it miss the objective.
     */
    @Test
    void requestFallsBackToAnotherEndpointInTimeForItsObjective() {
        var proxy = LargeFleet.proxy(0);
        for (int i = 0; i < 20; i++) {
            proxy.serve(READ, 200 * MILLIS);
            proxy.advance(SECONDS);
        }
        String inFlight = proxy.submit(READ);
        proxy.nowUs += MILLIS;
        String next = proxy.submit(READ);
        // The latency objective is 600 ms; 0.4 of it, two latency budgets, is 240 ms. An endpoint without progress for
        // that time is suspect, and another endpoint is in the subset instead.
        proxy.advance(230 * MILLIS);
        assertThat(proxy.attemptCount(next)).isZero();
        proxy.advance(50 * MILLIS);
        assertThat(proxy.lastAttempt(next).endpointId())
                .isNotEqualTo(proxy.lastAttempt(inFlight).endpointId());
    }

    /**
     * Most proxies need only one endpoint. A proxy with several times the usual load must spread it over more endpoints
     * to avoid overloading one.
     */
    @Test
    void busierProxyUsesMoreThanOneEndpoint() {
        assertThat(endpointsUsed(1)).isEqualTo(1);
        assertThat(endpointsUsed(4)).isBetween(3L, 8L);
    }

    /**
     * Returns the number of endpoints that a proxy uses in its steady state, with the given number of requests in
     * flight. Each request takes 100 ms.
     */
    private static long endpointsUsed(int concurrency) {
        var proxy = LargeFleet.proxy(0);
        int actionsBeforeSteadyState = 0;
        for (int i = 0; i < 200; i++) {
            actionsBeforeSteadyState = i == 150 ? proxy.actions.size() : actionsBeforeSteadyState;
            var requests = new ArrayList<String>();
            for (int n = 0; n < concurrency; n++) {
                requests.add(proxy.submit(READ));
            }
            proxy.advance(100 * MILLIS);
            requests.stream()
                    .filter(id -> proxy.attemptCount(id) > 0)
                    .forEach(id -> proxy.endAttempt(id, AttemptOutcome.SUCCESS, 100 * MILLIS));
            proxy.advance(concurrency == 1 ? 200 * MILLIS : 0);
        }
        return proxy.actions.subList(actionsBeforeSteadyState, proxy.actions.size()).stream()
                .filter(a -> a instanceof StartAttempt)
                .map(a -> ((StartAttempt) a).endpointId())
                .distinct()
                .count();
    }
}
