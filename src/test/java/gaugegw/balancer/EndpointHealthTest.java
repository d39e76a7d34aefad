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

/** Endpoints that fail: when they are avoided, for how long, and when not. */
class EndpointHealthTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * One request class fails at one endpoint, all others are served there. That class must avoid the endpoint,
     * with a growing backoff, while the other classes go on using it.
     */
    @Test
    void requestClassThatFailsAtAnEndpointAvoidsItAlone() {
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
        // Six seconds, with backoffs of 1.2, 2.4 and 4.8 s.
        assertThat(failed).isBetween(2, 3);
        assertThat(reads.get("a")).isGreaterThan(60);
    }

    /**
     * Connections are reset now and then, whichever endpoint holds them, and a class fails often at six of ten
     * endpoints. If a stray reset counted like a failure, the four good endpoints would seem as bad as the rest and
     * the class would return to those that fail.
     */
    @Test
    void isolatedResetsDoNotReturnAClassToFailingEndpoints() {
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
        // Ten seconds: a few failures at each of the six to detect it, and a few after each backoff: 1.2, 2.4, 4.8 s.
        assertThat(failed).isLessThan(150);
    }

    /**
     * One answer in twenty is lost on its way, whichever endpoint gave it. Backing off from an endpoint would not
     * avoid the errors and only move its load to the others. All three endpoints stay in use.
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
     * A class fails at every endpoint. With all of them in backoff, nothing would be left to send to and the class
     * would be rejected long after the fault is over. Its requests are still forwarded.
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
     * Connections to one endpoint fail. Each try costs a request the time of a failed connection, so the tries must
     * become rare.
     */
    @Test
    void unreachableEndpointIsRetriedWithGrowingBackoff() {
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
        // Six seconds, with backoffs of 1.2, 2.4 and 4.8 s.
        assertThat(attemptsAtLost).isBetween(2, 3);
    }

    /**
     * No endpoint can be reached: more likely this proxy is cut off than all endpoints are down. If all were in
     * backoff, it would reject requests after the network is back. All of them are tried on.
     */
    @Test
    void unreachableEndpointsAreTriedIfNearlyAllAre() {
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
     * One endpoint answers a quarter of its requests with an error. It still does useful work, so it must not stay
     * ejected like one that always fails.
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
        // With the longest backoff after every error it would get 17; each of the others gets 980 or more.
        assertThat(attemptsAtErring).isBetween(30, 400);
    }

    /**
     * A proxy of a large fleet uses one endpoint, which becomes twenty times as slow. The proxy must change to
     * another one, and use the first again once the slow answers are forgotten.
     */
    @Test
    void slowEndpointIsAvoidedForAWhile() {
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
                .as("its own answers are forgotten in time")
                .isEqualTo(slow);
    }
}
