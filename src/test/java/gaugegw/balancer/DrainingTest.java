package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointInState;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.EndpointState;
import org.junit.jupiter.api.Test;

/** No attempt may begin on a draining or removed endpoint. */
class DrainingTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /** Work sent to an endpoint that drains or is gone would be rejected or lost. */
    @Test
    void drainingAndRemovedEndpointsGetNoAttempts() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        driver.delta(endpointInState("a", EndpointState.DRAINING), endpointInState("b", EndpointState.GONE));
        for (int i = 0; i < 10; i++) {
            assertThat(driver.serve(READ, MILLIS)).isEqualTo("c");
        }
    }

    /** An endpoint that a complete list does not contain is gone, also without a notice of its own. */
    @Test
    void endpointMissingFromASnapshotGetsNoAttempts() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        driver.snapshot(endpoint("b"));
        for (int i = 0; i < 5; i++) {
            assertThat(driver.serve(READ, MILLIS)).isEqualTo("b");
        }
    }

    /** All endpoints drain. Not even the last one may be used for want of a better one. */
    @Test
    void whenAllEndpointsDrainNothingIsStarted() {
        driver.snapshot(endpoint("a"));
        driver.snapshot(endpointInState("a", EndpointState.DRAINING));
        String id = driver.submit(READ);
        assertThat(driver.attemptCount(id)).isZero();
    }

    /** A release that drained an endpoint is undone: the endpoint is ready again and must get requests. */
    @Test
    void drainedEndpointIsUsedAgainOnceItIsReady() {
        driver.snapshot(endpointInState("a", EndpointState.DRAINING));
        driver.delta(endpoint("a"));
        assertThat(driver.serve(READ, MILLIS)).isEqualTo("a");
    }

    /**
     * One update holds both the draining and the return of an endpoint. If it were listed twice, it would get twice
     * its share of the requests.
     */
    @Test
    void endpointThatDrainsAndReturnsInOneUpdateIsListedOnce() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        driver.delta(endpointInState("a", EndpointState.DRAINING), endpoint("a"));
        int attemptsAtA = 0;
        for (int i = 0; i < 12; i++) {
            attemptsAtA += driver.serve(READ, MILLIS).equals("a") ? 1 : 0;
        }
        assertThat(attemptsAtA).isEqualTo(6);
    }
}
