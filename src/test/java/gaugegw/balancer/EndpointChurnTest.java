package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointInState;
import static gaugegw.balancer.testing.TestEndpoints.endpointStartedAt;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.UpdateKind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Backends that come and go all day, as changes of the list tell it. */
class EndpointChurnTest {
    private final LoadBalancerDriver proxy = new LoadBalancerDriver();

    /** Nothing is kept of what is gone, or the memory of a proxy grows with each backend it ever knew. */
    @Test
    void forgetsWhatIsGone() {
        proxy.snapshot(endpoint("s0"), endpoint("s1"));
        for (int i = 0; i < 5_000; i++) {
            String id = proxy.submit(READ);
            proxy.handle(new EndpointUpdate(
                    UpdateKind.DELTA,
                    List.of(
                            endpointInState("s" + (i + 2), EndpointState.READY),
                            endpointInState("s" + i, EndpointState.GONE))));
            if (proxy.attemptCount(id) > 0) {
                proxy.endAttempt(id, AttemptOutcome.SUCCESS, 20_000);
            }
            proxy.nowUs += SECONDS;
        }
        assertThat(proxy.balancer.trackedStateSize()).isLessThan(10);
    }

    /** A process that starts anew under its id is not held to what was seen of the last one. */
    @Test
    void trustsANewProcessUnderAnOldId() {
        proxy.snapshot(endpointStartedAt("a", 1), endpointStartedAt("b", 1), endpointStartedAt("c", 1));
        boolean failed = false;
        for (int i = 0; i < 20; i++) {
            String id = proxy.submit(READ);
            boolean a = proxy.lastAttempt(id).endpointId().equals("a");
            proxy.endAttempt(id, a ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS, 20_000);
            assertThat(a && failed).as("a failed and is sent to again").isFalse();
            failed |= a;
        }
        assertThat(failed).isTrue();
        proxy.handle(new EndpointUpdate(UpdateKind.DELTA, List.of(endpointStartedAt("a", 2))));
        boolean sent = false;
        for (int i = 0; i < 20; i++) {
            String id = proxy.submit(READ);
            sent |= proxy.lastAttempt(id).endpointId().equals("a");
            proxy.endAttempt(id, AttemptOutcome.SUCCESS, 20_000);
        }
        assertThat(sent).isTrue();
    }
}
