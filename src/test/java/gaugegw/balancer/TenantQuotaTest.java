package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Tenant;
import java.util.ArrayList;
import org.junit.jupiter.api.Test;

/** The quotas of tenants under overload. */
class TenantQuotaTest {
    /**
     * One tenant sends far more than its quota and fills the queue before another tenant, which is within its quota,
     * sends a request. If requests were started in the order of arrival, the second tenant would starve. Its request
     * must be started as soon as capacity is free.
     */
    @Test
    void tenantOverItsQuotaYieldsToATenantWithinIt() {
        var driver = new LoadBalancerDriver(settings()
                .tenants(new Tenant("greedy", 1), new Tenant("modest", 1000))
                .build());
        driver.snapshot(endpoint("a"));
        driver.nowUs += 10_000 * MILLIS;
        var greedyRequests = new ArrayList<String>();
        for (int i = 0; i < 60; i++) {
            greedyRequests.add(driver.submit(READ, "greedy"));
        }
        String modestRequest = driver.submit(READ, "modest");
        String firstStarted = greedyRequests.stream()
                .filter(id -> driver.attemptCount(id) == 1)
                .findFirst()
                .orElseThrow();
        driver.endAttempt(firstStarted, AttemptOutcome.SUCCESS, 30 * MILLIS);
        driver.endAttempt(
                greedyRequests.stream()
                        .filter(id -> driver.attemptCount(id) == 1)
                        .skip(1)
                        .findFirst()
                        .orElseThrow(),
                AttemptOutcome.SUCCESS,
                30 * MILLIS);
        assertThat(driver.attemptCount(modestRequest)).isEqualTo(1);
    }
}
