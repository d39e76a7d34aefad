package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointInState;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests that no attempt starts at a draining or removed endpoint. */
class DrainingTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /** A request sent to an endpoint that drains or is gone would be rejected or lost. */
    @Test
    void drainingAndRemovedEndpointsGetNoAttempts() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        driver.delta(endpointInState("a", EndpointState.DRAINING), endpointInState("b", EndpointState.GONE));
        for (int i = 0; i < 10; i++) {
            assertThat(driver.serve(READ, MILLIS)).isEqualTo("c");
        }
    }

    /** An endpoint that is missing from a complete list is gone, even if no entry says so. */
    @Test
    void endpointMissingFromASnapshotGetsNoAttempts() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        driver.snapshot(endpoint("b"));
        for (int i = 0; i < 5; i++) {
            assertThat(driver.serve(READ, MILLIS)).isEqualTo("b");
        }
    }

    /** A draining endpoint must not be used even if there is no other endpoint. */
    @Test
    void onlyEndpointGetsNoAttemptsWhileItDrains() {
        driver.snapshot(endpoint("a"));
        driver.snapshot(endpointInState("a", EndpointState.DRAINING));
        String id = driver.submit(READ);
        assertThat(driver.attemptCount(id)).isZero();
    }

    /** A deployment that drained an endpoint is cancelled. The endpoint is ready again and must get requests. */
    @Test
    void drainingEndpointIsUsedAgainOnceItIsReady() {
        driver.snapshot(endpointInState("a", EndpointState.DRAINING));
        driver.delta(endpoint("a"));
        assertThat(driver.serve(READ, MILLIS)).isEqualTo("a");
    }

    /**
     * One update contains two entries for an endpoint: draining, then ready. If the endpoint were added twice, it would
     * get twice its share of the requests.
     */
    @Test
    void endpointThatDrainsAndReturnsInOneUpdateIsAddedOnce() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        driver.delta(endpointInState("a", EndpointState.DRAINING), endpoint("a"));
        int attemptsAtA = 0;
        for (int i = 0; i < 12; i++) {
            attemptsAtA += driver.serve(READ, MILLIS).equals("a") ? 1 : 0;
        }
        assertThat(attemptsAtA).isEqualTo(6);
    }
}
