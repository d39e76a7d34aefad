package gaugegw.balancer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.Limits;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;
import gaugegw.balancer.api.UpdateKind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The embedding example of the README, and what a proxy is told when it gets its settings wrong. */
class LoadBalancerApiTest {
    private static final RequestClass READ =
            new RequestClass("read", 600_000, 2_000_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0);
    private static final Limits LIMITS = new Limits(true, false, false, false, 4, 0, 0);
    private static final SafetyLimits RULES = new SafetyLimits(0.4, 8_000_000, 4, 1_000_000, 10_000_000, false);

    @Test
    void theExampleOfTheReadmeRuns() {
        var carriedOut = new ArrayList<Action>();
        var policy = new EarliestDeadlineLoadBalancer(
                new BalancerSettings(3, 0, "zone-a", 1_000, List.of(READ), List.of(), 1, false, LIMITS, RULES, 42));
        var backend = new Endpoint("10.0.0.1:80", EndpointState.READY, "std", "zone-a", 0, 0, 1);
        policy.handle(1_000, new Event.EndpointUpdate(UpdateKind.SNAPSHOT, List.of(backend)), carriedOut::add);
        policy.handle(2_000, new Event.RequestArrived("r1", "read", null, null, 2_000_000, false), carriedOut::add);
        assertThat(carriedOut).containsExactly(new Action.StartAttempt("r1", "10.0.0.1:80", 1_200_000));
        policy.handle(
                20_500,
                new Event.AttemptEnded("r1", 0, "10.0.0.1:80", AttemptOutcome.SUCCESS, 18_500, true),
                carriedOut::add);
        assertThat(carriedOut).hasSize(1);
    }

    @Test
    void wrongSettingsAreNamed() {
        assertThatThrownBy(
                        () -> new BalancerSettings(0, 0, "a", 1, List.of(READ), List.of(), 1, false, LIMITS, RULES, 1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("invalid setting: balancers");
        assertThatThrownBy(() -> new BalancerSettings(1, 0, "a", 1, List.of(), List.of(), 1, false, LIMITS, RULES, 1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("invalid setting: classes");
        assertThatThrownBy(() -> new BalancerSettings(1, 0, "a", 1, List.of(READ), List.of(), 1, false, null, RULES, 1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("invalid setting: limits");
        assertThatThrownBy(() -> new SafetyLimits(0, 1, 1, 1, 1, false))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("invalid setting: cold from");
    }

    @Test
    void aRequestOfAnUnknownClassIsAnError() {
        var policy = new EarliestDeadlineLoadBalancer(
                new BalancerSettings(1, 0, "a", 1, List.of(READ), List.of(), 1, false, LIMITS, RULES, 1));
        assertThatThrownBy(() ->
                        policy.handle(1, new Event.RequestArrived("r1", "write", null, null, 1, false), action -> {}))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("write");
    }
}
