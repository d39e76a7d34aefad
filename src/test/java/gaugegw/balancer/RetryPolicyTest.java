package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestSettings.LIMITS;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** The number of attempts of a request, and the timeout of an attempt. */
class RetryPolicyTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * Every endpoint rejects the request. Each further attempt adds load to endpoints that already have too much, so
     * the request is rejected after the configured number of attempts.
     */
    @Test
    void attemptsStayWithinTheConfiguredMaximum() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d"), endpoint("e"), endpoint("f"));
        String id = driver.submit(READ);
        for (int i = 1; i < LIMITS.maxAttempts(); i++) {
            driver.endAttempt(id, AttemptOutcome.REJECTED, MILLIS);
            assertThat(driver.attemptCount(id)).isEqualTo(i + 1);
        }
        assertThat(driver.endAttempt(id, AttemptOutcome.REJECTED, MILLIS)).containsExactly(new Reject(id, 0));
    }

    /**
     * An answer after the latency objective is worth nothing in this class. An attempt that waited until the deadline
     * would use a part of the concurrency limit for nothing.
     */
    @Test
    void attemptTimesOutSoonAfterTheLatencyObjective() {
        var proxy = LargeFleet.proxy(0);
        String id = proxy.submit(READ);
        assertThat(proxy.lastAttempt(id).timeoutUs()).isBetween(READ.latencyObjectiveUs(), READ.deadlineUs() * 2 / 3);
    }
}
