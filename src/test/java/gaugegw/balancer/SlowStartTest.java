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
 * An endpoint that has just started serves a part of its capacity and fails for good if it is overloaded meanwhile:
 * the attempts sent to it stay within a budget.
 */
class SlowStartTest {
    /** One second of an endpoint at 40% or a little more that takes 50 ms for a request, times the overload multiple. */
    private static final int MAX_ATTEMPTS = 36;

    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * The endpoint that starts is the only one left. All traffic would go to it and overload it; it must get no
     * more than its budget.
     */
    @Test
    void attemptsStayWithinTheBudgetWithoutOtherEndpoints() {
        driver.snapshot(endpoint("warm"));
        for (int i = 0; i < 300; i++) {
            driver.serve(READ, 50 * MILLIS);
        }
        assertThat(attemptsInOneSecond(AttemptOutcome.SUCCESS)).isBetween(5, MAX_ATTEMPTS);
    }

    /**
     * The endpoint rejects what it is sent. Rejected work is a load as well, so retries must not go beyond the
     * budget.
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
     * The capacity of the new endpoint is not known. A budget of one request at a time would leave it idle where
     * many proxies share it. The budget follows what endpoints of its kind answer to this proxy.
     */
    @Test
    void budgetFollowsTheThroughputOfSimilarEndpoints() {
        var oneOfNine = new LoadBalancerDriver(minimalSettings().proxy(3, 9).build());
        Endpoint[] endpoints = endpoints(4, "s");
        oneOfNine.snapshot(endpoints);
        for (int i = 0; i < 3000; i++) {
            oneOfNine.serve(READ, 10 * MILLIS);
        }
        endpoints[3] = endpointStartedAt("s3", oneOfNine.nowUs);
        oneOfNine.snapshot(endpoints);
        int attemptsAtCold = 0;
        for (int i = 0; i < 200; i++) {
            attemptsAtCold += oneOfNine.serve(READ, 10 * MILLIS).equals("s3") ? 1 : 0;
        }
        // Similar endpoints serve 25 per second for this proxy; for two seconds, at 40% to 55% of that, the budget is
        // 0.4 of 4 times as much.
        assertThat(attemptsAtCold).isBetween(15, 44);
    }

    /**
     * An endpoint restarts under the id that it had. What it served before says nothing about the new process,
     * which is as easily overloaded as a new endpoint.
     */
    @Test
    void restartedEndpointStartsSlowlyAgain() {
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

    /** The budget ends with slow start: after that the endpoint gets every request. */
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
     * Each of 400 proxies keeps a budget of its own and none knows what the others send. Together they must neither
     * overload the new endpoint nor leave it idle.
     */
    @Test
    void largeFleetTogetherStaysWithinTheBudget() {
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
        // All proxies together send 33 requests per second to each of 60 endpoints. In its first 5 s a new one has at
        // least 40% of that capacity and may get up to 4 times as much.
        assertThat(attemptsAtNew).isBetween(5 * 33 * 4 / 10 / 2, 5 * 33 * 4 / 10 * 3);
    }
}
