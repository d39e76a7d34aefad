package gaugegw.proxy.discovery;

import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.WatchEndpoints;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.ScriptedServer;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Load balancers that watch the endpoint list, and an edit of the configuration, for the tests of discovery. */
final class DiscoveryTestSupport {
    private DiscoveryTestSupport() {}

    /**
     * Returns a load balancer that starts a watch when it has the cached endpoints, and again after each failed poll.
     */
    static ProxyFixture.StubLoadBalancer watching() {
        return (event, actions) -> {
            if (event instanceof EndpointUpdate update
                    && (update.kind() == UpdateKind.CACHED || update.kind() == UpdateKind.POLL_FAILED)) {
                actions.accept(new WatchEndpoints(true));
            }
        };
    }

    /**
     * As {@link #watching()}, with a timer that starts at the first update of a kind. The test then checks that the
     * event it expects arrives before that of the timer.
     */
    static ProxyFixture.StubLoadBalancer watchingWithTimer(UpdateKind startKind, long timerMs) {
        var timerSet = new boolean[1];
        return (event, actions) -> {
            watching().handle(event, actions);
            if (!timerSet[0] && event instanceof EndpointUpdate update && update.kind() == startKind) {
                timerSet[0] = true;
                long nowUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
                actions.accept(new SetTimer(nowUs + timerMs * 1_000, "time is up"));
            }
        };
    }

    /** Returns a configuration in which the address of discovery is that of a given server. */
    static String discoveryAt(ScriptedServer discovery, String config) {
        return config.replaceFirst("discovery\":\"[^\"]+", "discovery\":\"" + discovery.address());
    }
}
