package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointStartedAt;
import static gaugegw.balancer.testing.TestEndpoints.endpoints;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SAFETY_LIMITS;
import static gaugegw.balancer.testing.TestSettings.minimalSettings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;
import org.junit.jupiter.api.Test;

/**
 * Tests the budget of attempts at an endpoint in slow start. Such an endpoint has only a part of its capacity, and an
 * overload makes it fail permanently.
 */
class SlowStartTest {
    /**
     * Upper bound on the attempts in one second: 20 requests of 50 ms each, at 45% of the capacity, times the overload
     * multiple of 4. The capacity rises from 40% to 47.5% in that second.
     */
    private static final int MAX_ATTEMPTS = 36;

    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * The only ready endpoint is in slow start. All of the traffic would overload it, so it must get no more attempts
     * than its budget permits.
     */
    @Test
    void onlyEndpointGetsNoMoreThanItsBudget() {
        driver.snapshot(endpoint("warm"));
        for (int i = 0; i < 300; i++) {
            driver.serve(READ, 50 * MILLIS);
        }
        assertThat(attemptsInOneSecond(AttemptOutcome.SUCCESS)).isBetween(5, MAX_ATTEMPTS);
    }

    /**
     * The endpoint rejects every attempt. Rejected attempts are load as well, so retries must stay within the budget.
     */
    @Test
    void retriesCountTowardsTheBudget() {
        driver.snapshot(endpoint("warm"));
        for (int i = 0; i < 300; i++) {
            driver.serve(READ, 50 * MILLIS);
        }
        assertThat(attemptsInOneSecond(AttemptOutcome.REJECTED)).isBetween(5, MAX_ATTEMPTS);
    }

    private int attemptsInOneSecond(AttemptOutcome outcome) {
        driver.snapshot(endpointStartedAt("cold", driver.nowUs));
        int attempts = 0;
        int actionsSeen = driver.actions.size();
        for (int i = 0; i < 1000; i++) {
            driver.nowUs += MILLIS;
            driver.submit(READ);
            for (; actionsSeen < driver.actions.size(); actionsSeen++) {
                if (driver.actions.get(actionsSeen) instanceof StartAttempt start) {
                    attempts++;
                    driver.endAttempt(start.requestId(), outcome, MILLIS);
                }
            }
        }
        return attempts;
    }

    /**
     * The capacity of a new endpoint is unknown. A budget of one request at a time, divided among many proxies, would
     * leave it almost idle. The budget must therefore follow the throughput of similar endpoints for this proxy.
     */
    @Test
    void budgetFollowsTheThroughputOfSimilarEndpoints() {
        var proxyOfNine = new LoadBalancerDriver(minimalSettings().proxy(3, 9).build());
        Endpoint[] endpoints = endpoints(4, "s");
        proxyOfNine.snapshot(endpoints);
        for (int i = 0; i < 3000; i++) {
            proxyOfNine.serve(READ, 10 * MILLIS);
        }
        endpoints[3] = endpointStartedAt("s3", proxyOfNine.nowUs);
        proxyOfNine.snapshot(endpoints);
        int attemptsAtCold = 0;
        for (int i = 0; i < 200; i++) {
            attemptsAtCold += proxyOfNine.serve(READ, 10 * MILLIS).equals("s3") ? 1 : 0;
        }
        // Similar endpoints serve 25 requests per second for this proxy. In the two seconds of the test, the new
        // endpoint has 40% to 55% of that capacity. The budget is 0.4 times the overload multiple of 4 times that.
        assertThat(attemptsAtCold).isBetween(15, 44);
    }

    /**
     * An endpoint restarts under the same id. The requests that the old process served say nothing about the new one,
     * which is overloaded as easily as a new endpoint.
     */
    @Test
    void restartedEndpointIsInSlowStartAgain() {
        driver.snapshot(endpoint("a"));
        for (int i = 0; i < 100; i++) {
            driver.serve(READ, 50 * MILLIS);
        }
        driver.snapshot(endpointStartedAt("a", driver.nowUs));
        long attempts = 0;
        for (int i = 0; i < 100; i++) {
            String id = driver.submit(READ);
            attempts += driver.attemptCount(id);
            if (driver.attemptCount(id) > 0) {
                driver.endAttempt(id, AttemptOutcome.SUCCESS, MILLIS);
            }
        }
        assertThat(attempts).isLessThan(20);
    }

    /** After slow start the budget no longer applies, so the only endpoint gets every request. */
    @Test
    void endpointGetsAllTrafficAfterSlowStart() {
        driver.snapshot(endpointStartedAt("a", driver.nowUs - SAFETY_LIMITS.slowStartUs()));
        for (int i = 0; i < 100; i++) {
            assertThat(driver.serve(READ, 0)).isEqualTo("a");
        }
        assertThat(driver.actions.stream().filter(a -> a instanceof StartAttempt))
                .hasSize(100);
    }

    /**
     * Each of 400 proxies has its own budget and does not know how much the others send. Together they must neither
     * overload the new endpoint nor leave it idle.
     */
    @Test
    void allProxiesOfALargeFleetTogetherStayWithinTheBudget() {
        int attemptsAtNew = 0;
        for (int index = 0; index < 400; index++) {
            var proxy = LargeFleet.proxy(index);
            for (int i = 0; i < 50; i++) {
                proxy.serve(READ, 30 * MILLIS);
                proxy.advance(170 * MILLIS);
            }
            long startedAtUs = proxy.nowUs;
            proxy.delta(endpointStartedAt("new", startedAtUs));
            for (int i = 0; i < 25; i++) {
                attemptsAtNew += proxy.serve(READ, 30 * MILLIS).equals("new") ? 1 : 0;
                proxy.advance(170 * MILLIS);
            }
        }
        // All proxies together send 33 requests per second to each of the 60 endpoints. During its first 5 s, a new
        // endpoint has at least 40% of that capacity and fails only at 4 times that load.
        assertThat(attemptsAtNew).isBetween(5 * 33 * 4 / 10 / 2, 5 * 33 * 4 / 10 * 3);
    }
}
