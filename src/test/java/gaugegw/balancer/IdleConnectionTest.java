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
 * Tests that idle connections to a draining or removed endpoint are closed. An open connection would be reset when the
 * endpoint stops, and a request being written to it at that time would fail.
 */
class IdleConnectionTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * Idle connections must be closed when the endpoint starts to drain, and a connection in use once its
     * attempt has ended.
     */
    @Test
    void drainingClosesIdleConnectionsAtOnceAndOthersAfterTheirAttempt() {
        driver.snapshot(endpoint("a"));
        String id = driver.submit(VOTE);
        assertThat(driver.delta(endpointInState("a", EndpointState.DRAINING)))
                .containsExactly(new CloseIdleConnections("a"));
        assertThat(driver.endAttempt(id, AttemptOutcome.SUCCESS, MILLIS))
                .containsExactly(new CloseIdleConnections("a"));
    }

    /**
     * The last attempt at a draining endpoint ends by cancellation instead of a response. Its connection must be closed
     * as well.
     */
    @Test
    void connectionOfACancelledAttemptIsClosedWhileDraining() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        String id = driver.submit(READ);
        String endpointId = driver.lastAttempt(id).endpointId();
        driver.handle(new ClientDisconnected(id));
        driver.delta(endpointInState(endpointId, EndpointState.DRAINING));
        assertThat(driver.endAttempt(id, AttemptOutcome.CANCELLED, MILLIS))
                .containsExactly(new CloseIdleConnections(endpointId));
    }

    /** An endpoint may be removed without draining first: it is then missing from a complete list. */
    @Test
    void endpointMissingFromASnapshotHasItsConnectionsClosed() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        driver.actions.clear();
        driver.snapshot(endpoint("b"));
        assertThat(driver.actions).containsExactly(new CloseIdleConnections("a"));
    }
}
