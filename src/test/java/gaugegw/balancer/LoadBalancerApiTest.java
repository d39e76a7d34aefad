package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpointBuilder;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.minimalSettings;
import static gaugegw.balancer.testing.TestSettings.safetyLimits;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.balancer.testing.BalancerSettingsBuilder;
import gaugegw.balancer.testing.SafetyLimitsBuilder;
import java.util.ArrayList;
import java.util.List;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;

/**
 * The load balancer as a library: one request from arrival to answer, and the errors for invalid settings and events.
 */
class LoadBalancerApiTest {
    @Test
    void forwardsARequest() {
        var actions = new ArrayList<Action>();
        var balancer = new EarliestDeadlineLoadBalancer(minimalSettings()
                .proxy(0, 3)
                .zone("zone-a")
                .minEventIntervalUs(1_000)
                .seed(42)
                .build());
        Endpoint endpoint =
                endpointBuilder("10.0.0.1:80").zone("zone-a").cell(0).build();
        balancer.handle(1_000, new Event.EndpointUpdate(UpdateKind.SNAPSHOT, List.of(endpoint)), actions::add);
        balancer.handle(2_000, new Event.RequestArrived("r1", "read", null, null, 2_000_000, false), actions::add);
        assertThat(actions).containsExactly(new Action.StartAttempt("r1", "10.0.0.1:80", 1_200_000));
        balancer.handle(
                20_500,
                new Event.AttemptEnded("r1", 0, "10.0.0.1:80", AttemptOutcome.SUCCESS, 18_500, true),
                actions::add);
        assertThat(actions).hasSize(1);
    }

    @Test
    void errorNamesTheInvalidSettingAndItsValue() {
        assertInvalidSetting(() -> smallestValidSettings().proxy(0, 0).build(), "'balancers': 0, must be at least 1");
        assertInvalidSetting(
                () -> smallestValidSettings().requestClasses(List.of()).build(),
                "'profiles': must have at least one item");
        assertInvalidSetting(() -> smallestValidSettings().limits(null).build(), "'bounds': missing");
        assertInvalidSetting(
                () -> smallestValidSafetyLimits().initialCapacityFraction(0).build(),
                "'invariants.cold_from': 0.0, must be greater than 0 and at most 1");
    }

    private static void assertInvalidSetting(ThrowingCallable build, String problem) {
        assertThatThrownBy(build).isInstanceOf(IllegalArgumentException.class).hasMessage("invalid setting " + problem);
    }

    private static BalancerSettingsBuilder smallestValidSettings() {
        return minimalSettings().minEventIntervalUs(1).requestClasses(READ);
    }

    private static SafetyLimitsBuilder smallestValidSafetyLimits() {
        return safetyLimits()
                .slowStartUs(1)
                .overloadMultiple(1)
                .overloadWindowUs(1)
                .pollIntervalUs(1);
    }

    @Test
    void rejectsARequestOfAnUnknownClass() {
        var balancer = new EarliestDeadlineLoadBalancer(smallestValidSettings().build());
        assertThatThrownBy(() ->
                        balancer.handle(1, new Event.RequestArrived("r1", "write", null, null, 1, false), action -> {}))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("'write'");
    }
}
