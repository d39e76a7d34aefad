package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpoints;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.VOTE;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests when failing endpoints are avoided, for how long, and when they are used anyway. */
class EndpointHealthTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * One request class fails at one endpoint, which serves the other classes. Only the failing class must avoid the
     * endpoint, with a growing backoff.
     */
    @Test
    void onlyTheRequestClassThatFailsAvoidsTheEndpoint() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        Map<String, Integer> reads = new HashMap<>();
        int failed = 0;
        for (int i = 0; i < 300; i++) {
            reads.merge(driver.serve(READ, 10 * MILLIS), 1, Integer::sum);
            String id = driver.submit(VOTE);
            driver.nowUs += 10 * MILLIS;
            boolean failing = driver.lastAttempt(id).endpointId().equals("a");
            failed += failing ? 1 : 0;
            driver.endAttempt(id, failing ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS, 10 * MILLIS);
            if (failing) {
                driver.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
            }
        }
        // The test lasts six seconds; the backoffs are 1.2, 2.4 and 4.8 s.
        assertThat(failed).isBetween(2, 3);
        assertThat(reads.get("a")).isGreaterThan(60);
    }

    /**
     * A request class often fails at six of ten endpoints, and connections to all endpoints are occasionally reset. If
     * an isolated reset counted as a failure, the four working endpoints would seem as unhealthy as the others, and the
     * class would return to the failing endpoints.
     */
    @Test
    void failingEndpointsStayAvoidedDespiteIsolatedResetsAtOthers() {
        driver.snapshot(endpoints(10, "b"));
        var random = new Random(1);
        var inFlight = new ArrayDeque<String>();
        int failed = 0;
        for (int i = 0; i < 2000; i++) {
            driver.nowUs += 5 * MILLIS;
            inFlight.add(driver.submit(VOTE));
            String id = inFlight.size() > 4 ? inFlight.remove() : null;
            if (id == null || driver.lastAttempt(id) == null) {
                continue;
            }
            boolean failing = driver.lastAttempt(id).endpointId().compareTo("b4") >= 0 && random.nextInt(10) < 7;
            failed += failing ? 1 : 0;
            driver.endAttempt(
                    id,
                    random.nextInt(14) == 0
                            ? AttemptOutcome.RESET
                            : failing ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS,
                    20 * MILLIS);
        }
        // The test lasts ten seconds. Each of the six endpoints may fail a few requests before it is detected, and a
        // few more after each backoff of 1.2, 2.4 and 4.8 s.
        assertThat(failed).isLessThan(150);
    }

    /**
     * One request in twenty fails, whichever endpoint serves it. A backoff would not avoid these errors and would only
     * shift load to the other endpoints. All three endpoints must stay in use.
     */
    @Test
    void errorsCommonToAllEndpointsCauseNoBackoff() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        Map<String, Integer> lastUsed = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = driver.submit(READ);
            lastUsed.put(driver.lastAttempt(id).endpointId(), i);
            driver.nowUs += 10 * MILLIS;
            if (i % 20 == 19) {
                driver.endAttempt(id, AttemptOutcome.ERROR, 10 * MILLIS);
            }
            driver.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
            if (i > 300) {
                int now = i;
                assertThat(lastUsed)
                        .hasSize(3)
                        .allSatisfy(
                                (endpointId, usedAt) -> assertThat(now - usedAt).isLessThan(40));
            }
        }
    }

    /**
     * A request class fails at every endpoint. If all of them were avoided, the class would be rejected long after the
     * fault is over. Its requests must still be forwarded.
     */
    @Test
    void requestClassThatFailsEverywhereIsStillForwarded() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        for (int i = 0; i < 20; i++) {
            String id = driver.submit(VOTE);
            assertThat(driver.attemptCount(id)).isEqualTo(1);
            driver.nowUs += 10 * MILLIS;
            driver.endAttempt(id, AttemptOutcome.ERROR, 10 * MILLIS);
        }
    }

    /**
     * All connections to one endpoint fail. Each attempt there delays a request by the time until the connection fails,
     * so such attempts must become rare.
     */
    @Test
    void unreachableEndpointIsTriedWithGrowingBackoff() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"), endpoint("lost"));
        int attemptsAtLost = 0;
        for (int i = 0; i < 600; i++) {
            String id = driver.submit(READ);
            driver.nowUs += 10 * MILLIS;
            if (driver.lastAttempt(id).endpointId().equals("lost")) {
                attemptsAtLost++;
                driver.endAttempt(id, AttemptOutcome.CONNECT_FAILED, 10 * MILLIS);
            }
            driver.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
        }
        // The test lasts six seconds; the backoffs are 1.2, 2.4 and 4.8 s.
        assertThat(attemptsAtLost).isBetween(2, 3);
    }

    /**
     * No endpoint is reachable, which is more likely a fault of this proxy's network than of all endpoints. If all of
     * them were avoided, the proxy would still reject requests once the network is back. Endpoints must still be tried.
     */
    @Test
    void endpointsAreStillTriedWhenNoneIsReachable() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        for (int i = 0; i < 20; i++) {
            String id = driver.submit(VOTE);
            assertThat(driver.attemptCount(id)).isPositive();
            for (int attempt = 0; attempt < 4; attempt++) {
                driver.endAttempt(id, AttemptOutcome.CONNECT_FAILED, 10 * MILLIS);
            }
            driver.nowUs += 10 * MILLIS;
        }
    }

    /**
     * One endpoint fails a quarter of its requests. It still does useful work, so its backoffs must be shorter than
     * those of an endpoint that always fails.
     */
    @Test
    void endpointWithOccasionalErrorsStaysInUse() {
        driver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"), endpoint("errs"));
        int attemptsAtErring = 0;
        for (int i = 0; i < 4000; i++) {
            String id = driver.submit(READ);
            driver.nowUs += 10 * MILLIS;
            if (driver.lastAttempt(id).endpointId().equals("errs") && attemptsAtErring++ % 4 == 0) {
                driver.endAttempt(id, AttemptOutcome.ERROR, 10 * MILLIS);
            }
            driver.endAttempt(id, AttemptOutcome.SUCCESS, 10 * MILLIS);
        }
        // With the longest backoff after every error it would get 17 attempts. Each other endpoint gets 980 or more.
        assertThat(attemptsAtErring).isBetween(30, 400);
    }

    /**
     * A proxy of a large fleet uses one endpoint, whose latency rises to twenty times its usual value. The proxy must
     * switch to another endpoint. It must return to the first once the slow responses have decayed in its average.
     */
    @Test
    void slowEndpointIsAvoidedUntilItsSlowResponsesHaveDecayed() {
        var proxy = LargeFleet.proxy(0);
        for (int i = 0; i < 300; i++) {
            proxy.serve(READ, 20 * MILLIS);
            proxy.advance(100 * MILLIS);
        }
        String slow = proxy.serve(READ, 20 * MILLIS);
        for (int i = 0; i < 40; i++) {
            String id = proxy.submit(READ);
            long latencyUs = proxy.lastAttempt(id).endpointId().equals(slow) ? 400 * MILLIS : 20 * MILLIS;
            proxy.nowUs += latencyUs;
            proxy.endAttempt(id, AttemptOutcome.SUCCESS, latencyUs);
            proxy.advance(200 * MILLIS);
        }
        assertThat(proxy.serve(READ, 20 * MILLIS)).isNotEqualTo(slow);
        for (int i = 0; i < 30; i++) {
            proxy.serve(READ, 20 * MILLIS);
            proxy.advance(2 * SECONDS);
        }
        assertThat(proxy.serve(READ, 20 * MILLIS))
                .as("endpoint selected after its slow responses have decayed")
                .isEqualTo(slow);
    }
}
