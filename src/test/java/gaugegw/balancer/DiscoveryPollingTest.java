package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SAFETY_LIMITS;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.limits;
import static gaugegw.balancer.testing.TestSettings.minimalSettings;
import static gaugegw.balancer.testing.TestSettings.safetyLimits;
import static gaugegw.balancer.testing.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.WatchEndpoints;
import gaugegw.balancer.api.Limits;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Discovery sends the endpoint list only on request: the load balancer watches the list and calls again after failures.
 * A proxy that did not call in time would send requests to endpoints that have long been drained.
 */
class DiscoveryPollingTest {
    private static final Limits ON_REQUEST =
            limits().endpointUpdatesOnRequest(true).build();

    /**
     * The first call fails. The cached list remains in use, and a timer that fires within the poll interval causes the
     * next call.
     */
    @Test
    void watchIsRequestedAtOnceAndAgainAfterAFailure() {
        var driver = new LoadBalancerDriver(settings().limits(ON_REQUEST).build());
        assertThat(driver.cached(endpoint("a"))).contains(new WatchEndpoints(true));
        List<Action> actions = driver.pollFailed();
        SetTimer timer = (SetTimer) actions.get(0);
        assertThat(timer.atUs()).isBetween(driver.nowUs + 1, driver.nowUs + SAFETY_LIMITS.pollIntervalUs());
        assertThat(driver.serve(READ, MILLIS))
                .as("the cached list remains in use")
                .isEqualTo("a");
        driver.nowUs = timer.atUs();
        assertThat(driver.fireTimer(timer.token())).contains(new WatchEndpoints(true));
    }

    /**
     * Discovery is down for a long time. After any number of failures, and even if two of them overlap, the backoff
     * must not grow past its bound. Otherwise, a change would remain unknown for too long once discovery is back.
     */
    @ParameterizedTest
    @ValueSource(longs = {50 * MILLIS, 500 * MILLIS, 10 * SECONDS, 60 * SECONDS, 3_600 * SECONDS})
    void nextCallIsMadeWithinTheBoundAfterAnyNumberOfFailures(long pollIntervalUs) {
        var safetyLimits = safetyLimits().pollIntervalUs(pollIntervalUs).build();
        var driver = new LoadBalancerDriver(
                settings().limits(ON_REQUEST).safetyLimits(safetyLimits).build());
        long boundUs = Math.min(DiscoveryBackoff.MAX_DELAY_US, pollIntervalUs);
        driver.cached(endpoint("a"));
        for (int i = 0; i < 40; i++) {
            long callsBefore = watchCalls(driver);
            driver.pollFailed();
            if (i % 2 == 1) {
                driver.advance(boundUs / 4);
                driver.pollFailed();
                driver.advance(boundUs - boundUs / 4);
            } else {
                driver.advance(boundUs);
            }
            assertThat(watchCalls(driver)).as("failure %d", i).isGreaterThan(callsBefore);
        }
    }

    private static long watchCalls(LoadBalancerDriver driver) {
        return driver.actions.stream().filter(new WatchEndpoints(true)::equals).count();
    }

    /** Two calls that time out, and the delays after them, leave time for a third call that is answered. */
    @Test
    void twoFailedCallsLeaveTimeForTheCallThatIsAnswered() {
        long worstCaseUs = 3 * DiscoveryBackoff.CALL_TIMEOUT_US + 2 * DiscoveryBackoff.MAX_DELAY_US;
        assertThat(worstCaseUs).isEqualTo(6 * SECONDS);
    }

    /**
     * Each call costs discovery work, once for every proxy of the fleet. During an outage, calls must become rare, up
     * to the bound.
     */
    @Test
    void failedCallsAreRepeatedWithGrowingBackoff() {
        var driver = new LoadBalancerDriver(settings().limits(ON_REQUEST).build());
        driver.cached(endpoint("a"));
        var delaysUs = new ArrayList<Long>();
        for (int i = 0; i < 6; i++) {
            SetTimer timer = (SetTimer) driver.pollFailed().get(0);
            delaysUs.add(timer.atUs() - driver.nowUs);
            driver.nowUs = timer.atUs();
            driver.fireTimer(timer.token());
        }
        assertThat(delaysUs.get(0)).isBetween(100 * MILLIS, 200 * MILLIS);
        assertThat(delaysUs.get(1)).isBetween(200 * MILLIS, 400 * MILLIS);
        assertThat(delaysUs.subList(3, 6)).allMatch(delayUs -> delayUs >= DiscoveryBackoff.MAX_DELAY_US / 2);
    }

    /**
     * A watch is answered and then ends at once, again and again. Each restart costs discovery a call or two. If an
     * answer reset the backoff immediately, the watch would be restarted without a pause. Only a watch that lasts
     * resets the backoff.
     */
    @Test
    void watchThatKeepsEndingIsRestartedWithGrowingBackoff() {
        var driver = new LoadBalancerDriver(settings().limits(ON_REQUEST).build());
        driver.cached(endpoint("a"));
        for (int i = 0; i < 4; i++) {
            driver.pollFailed();
            driver.advance(DiscoveryBackoff.MAX_DELAY_US);
            driver.delta();
        }
        assertThat(delayAfterFailureUs(driver)).isGreaterThanOrEqualTo(DiscoveryBackoff.MAX_DELAY_US / 2);
        driver.delta();
        driver.nowUs += DiscoveryBackoff.MAX_PROPAGATION_DELAY_US + 1;
        assertThat(delayAfterFailureUs(driver)).isLessThanOrEqualTo(200 * MILLIS);
    }

    private static long delayAfterFailureUs(LoadBalancerDriver driver) {
        SetTimer timer = (SetTimer) driver.pollFailed().get(0);
        return timer.atUs() - driver.nowUs;
    }

    /**
     * Discovery fails for all proxies at the same moment. If all of them called again after the same delay, discovery
     * would get the calls of the whole fleet at once. Proxies with different seeds use different delays.
     */
    @Test
    void proxiesWithDifferentSeedsRetryAfterDifferentDelays() {
        var driver = new LoadBalancerDriver(settings().limits(ON_REQUEST).build());
        var otherDriver = new LoadBalancerDriver(
                minimalSettings().limits(ON_REQUEST).seed(8).build());
        assertThat(driver.pollFailed())
                .doesNotContainAnyElementsOf(otherDriver.pollFailed().stream()
                        .filter(a -> a instanceof SetTimer t
                                && t.atUs() != otherDriver.nowUs + SAFETY_LIMITS.pollIntervalUs())
                        .toList());
    }
}
