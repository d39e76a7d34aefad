package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointInState;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.VOTE;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.CloseIdleConnections;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event.ClientDisconnected;
import org.junit.jupiter.api.Test;

/**
 * Idle connections to an endpoint that leaves are closed. One that stayed open would be reset when the endpoint
 * stops, under whatever request is just written to it.
 */
class IdleConnectionTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * Connections that are idle close when draining is notified, the one in use as soon as its attempt has ended.
     */
    @Test
    void drainingClosesIdleConnectionsAndTheLastOneAfterItsAttempt() {
        driver.snapshot(endpoint("a"));
        String id = driver.submit(VOTE);
        assertThat(driver.delta(endpointInState("a", EndpointState.DRAINING)))
                .containsExactly(new CloseIdleConnections("a"));
        assertThat(driver.endAttempt(id, AttemptOutcome.SUCCESS, MILLIS))
                .containsExactly(new CloseIdleConnections("a"));
    }

    /**
     * The attempt on the last connection is cancelled rather than answered. Its connection must be closed all the
     * same.
     */
    @Test
    void cancelledAttemptAlsoClosesItsConnectionWhileDraining() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        String id = driver.submit(READ);
        String endpointId = driver.lastAttempt(id).endpointId();
        driver.handle(new ClientDisconnected(id));
        driver.delta(endpointInState(endpointId, EndpointState.DRAINING));
        assertThat(driver.endAttempt(id, AttemptOutcome.CANCELLED, MILLIS))
                .containsExactly(new CloseIdleConnections(endpointId));
    }

    /** An endpoint may leave without a notice: it is missing from the next complete list. */
    @Test
    void endpointMissingFromASnapshotHasItsConnectionsClosed() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        driver.actions.clear();
        driver.snapshot(endpoint("b"));
        assertThat(driver.actions).containsExactly(new CloseIdleConnections("a"));
    }
}
