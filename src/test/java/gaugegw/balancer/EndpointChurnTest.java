package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointInState;
import static gaugegw.balancer.testing.TestEndpoints.endpointStartedAt;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests the state that is kept for endpoints while they are added, removed and restarted. */
class EndpointChurnTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * Each second one endpoint is added and one is removed. If state of removed endpoints were kept, the memory of a
     * proxy would grow without bound.
     */
    @Test
    void keepsNoStateOfRemovedEndpoints() {
        driver.snapshot(endpoint("s0"), endpoint("s1"));
        for (int i = 0; i < 5_000; i++) {
            String id = driver.submit(READ);
            driver.delta(
                    endpointInState("s" + (i + 2), EndpointState.READY), endpointInState("s" + i, EndpointState.GONE));
            if (driver.attemptCount(id) > 0) {
                driver.endAttempt(id, AttemptOutcome.SUCCESS, 20_000);
            }
            driver.nowUs += SECONDS;
        }
        assertThat(driver.balancer.trackedStateSize()).isLessThan(10);
    }

    /**
     * An endpoint is in backoff after a failure when its process restarts under the same id. The failure says nothing
     * about the new process, which must get requests without waiting for the backoff to end.
     */
    @Test
    void restartedEndpointIsNotInBackoff() {
        driver.snapshot(endpointStartedAt("a", 1), endpointStartedAt("b", 1), endpointStartedAt("c", 1));
        boolean failed = false;
        for (int i = 0; i < 20; i++) {
            String id = driver.submit(READ);
            boolean a = driver.lastAttempt(id).endpointId().equals("a");
            driver.endAttempt(id, a ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS, 20_000);
            assertThat(a && failed)
                    .as("endpoint a is selected again after its failure")
                    .isFalse();
            failed |= a;
        }
        assertThat(failed).isTrue();
        driver.delta(endpointStartedAt("a", 2));
        boolean usedAgain = false;
        for (int i = 0; i < 20; i++) {
            String id = driver.submit(READ);
            usedAgain |= driver.lastAttempt(id).endpointId().equals("a");
            driver.endAttempt(id, AttemptOutcome.SUCCESS, 20_000);
        }
        assertThat(usedAgain).isTrue();
    }
}
