package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.limits;
import static gaugegw.balancer.testing.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Reject;
import org.junit.jupiter.api.Test;

/** The Retry-After of rejections. */
class RejectionTest {
    /**
     * Under overload, many clients are rejected at the same moment. If all of them retried at once, or after the same
     * delay, the retries would cause a second overload. Each rejection has a different Retry-After, within the
     * configured maximum.
     */
    @Test
    void rejectionsCarryDifferentRetryAfters() {
        long maxRetryAfterUs = 700 * MILLIS;
        var driver = new LoadBalancerDriver(settings()
                .limits(limits().maxRetryAfterUs(maxRetryAfterUs).build())
                .build());
        driver.snapshot(endpoint("a"));
        for (int i = 0; i < 20; i++) {
            driver.submit(READ);
        }
        var retryAfters = driver.actions.stream()
                .filter(a -> a instanceof Reject)
                .map(a -> ((Reject) a).retryAfterUs())
                .toList();
        assertThat(retryAfters)
                .hasSizeGreaterThan(5)
                .doesNotHaveDuplicates()
                .allSatisfy(retryAfterUs -> assertThat(retryAfterUs).isBetween(60 * MILLIS, maxRetryAfterUs));
    }
}
