package gaugegw.balancer;

import static gaugegw.balancer.LoadBalancerDriver.READ;
import static gaugegw.balancer.LoadBalancerDriver.S;
import static gaugegw.balancer.LoadBalancerDriver.backend;
import static gaugegw.balancer.LoadBalancerDriver.in;
import static gaugegw.balancer.LoadBalancerDriver.started;
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
        proxy.list(backend("s0"), backend("s1"));
        for (int i = 0; i < 5_000; i++) {
            String id = proxy.arrive(READ);
            proxy.feed(new EndpointUpdate(
                    UpdateKind.DELTA,
                    List.of(in(EndpointState.READY, "s" + (i + 2)), in(EndpointState.GONE, "s" + i))));
            if (proxy.sends(id) > 0) {
                proxy.end(id, AttemptOutcome.SUCCESS, 20_000);
            }
            proxy.now += S;
        }
        assertThat(proxy.policy.trackedStateSize()).isLessThan(10);
    }

    /** A process that starts anew under its id is not held to what was seen of the last one. */
    @Test
    void trustsANewProcessUnderAnOldId() {
        proxy.list(started("a", 1), started("b", 1), started("c", 1));
        boolean failed = false;
        for (int i = 0; i < 20; i++) {
            String id = proxy.arrive(READ);
            boolean a = proxy.lastSend(id).endpointId().equals("a");
            proxy.end(id, a ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS, 20_000);
            assertThat(a && failed).as("a failed and is sent to again").isFalse();
            failed |= a;
        }
        assertThat(failed).isTrue();
        proxy.feed(new EndpointUpdate(UpdateKind.DELTA, List.of(started("a", 2))));
        boolean sent = false;
        for (int i = 0; i < 20; i++) {
            String id = proxy.arrive(READ);
            sent |= proxy.lastSend(id).endpointId().equals("a");
            proxy.end(id, AttemptOutcome.SUCCESS, 20_000);
        }
        assertThat(sent).isTrue();
    }
}
