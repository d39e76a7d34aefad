package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestEndpoints.endpointIn;
import static gaugegw.balancer.testing.TestSettings.BOOK;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.NOTE;
import static gaugegw.balancer.testing.TestSettings.PAY;
import static gaugegw.balancer.testing.TestSettings.VOTE;
import static gaugegw.balancer.testing.TestSettings.limits;
import static gaugegw.balancer.testing.TestSettings.minimalSettings;
import static gaugegw.balancer.testing.TestSettings.requestClass;
import static gaugegw.balancer.testing.TestSettings.safetyLimits;
import static gaugegw.balancer.testing.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.Fail;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.DeduplicationScope;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * No request may take effect twice: after which attempts a request may be retried, where, and when it may be rejected.
 * A request "may have executed" if the outcome of an attempt does not prove that the endpoint did not execute it.
 */
class DuplicateEffectTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * The connection is reset while a request that is not idempotent is in flight. The endpoint may have executed it,
     * so a retry by the proxy, or by the client after a rejection, could execute it twice. The request must fail.
     */
    @Test
    void nonIdempotentRequestThatMayHaveExecutedFails() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        String id = driver.submit(VOTE);
        assertThat(driver.endAttempt(id, AttemptOutcome.RESET, MILLIS)).containsExactly(new Fail(id));
    }

    /**
     * The connection was never established, so the endpoint cannot have executed the request. It is retried at another
     * endpoint.
     */
    @Test
    void nonIdempotentRequestThatNeverExecutedIsRetried() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        String id = driver.submit(VOTE);
        String first = driver.lastAttempt(id).endpointId();
        driver.endAttempt(id, AttemptOutcome.CONNECT_FAILED, MILLIS);
        assertThat(driver.attemptCount(id)).isEqualTo(2);
        assertThat(driver.lastAttempt(id).endpointId()).isNotEqualTo(first);
    }

    /**
     * The endpoint rejected the request unread, and too little time is left for a retry by the proxy. The request is
     * rejected, because a retry by the client is harmless.
     */
    @Test
    void nonIdempotentRequestThatNeverExecutedMayBeRejected() {
        driver.snapshot(endpoint("a"));
        String id = driver.submit(VOTE);
        driver.nowUs += 700 * MILLIS;
        assertThat(driver.endAttempt(id, AttemptOutcome.REJECTED, MILLIS)).containsExactly(new Reject(id, 0));
    }

    /**
     * The endpoints of a zone share the idempotency keys that they have seen. After a reset, a retry in another
     * zone would execute the request a second time.
     */
    @Test
    void zoneDeduplicatedRequestIsRetriedInItsZone() {
        driver.snapshot(
                endpointIn("a1", "a", 1), endpointIn("b1", "b", 2), endpointIn("b2", "b", 3), endpointIn("a2", "a", 4));
        for (int i = 0; i < 8; i++) {
            String id = driver.submit(PAY);
            String first = driver.lastAttempt(id).endpointId();
            driver.endAttempt(id, AttemptOutcome.RESET, MILLIS);
            assertThat(driver.attemptCount(id)).isEqualTo(2);
            assertThat(driver.lastAttempt(id).endpointId().charAt(0)).isEqualTo(first.charAt(0));
            driver.endAttempt(id, AttemptOutcome.SUCCESS, MILLIS);
        }
    }

    /**
     * The endpoints of a cell share the idempotency keys that they have seen. A retry in another cell of the same zone
     * would execute the request a second time.
     */
    @Test
    void cellDeduplicatedRequestIsRetriedInItsCell() {
        driver.snapshot(endpointIn("a", "a", 1), endpointIn("b", "a", 2));
        String id = driver.submit(BOOK);
        String first = driver.lastAttempt(id).endpointId();
        driver.endAttempt(id, AttemptOutcome.RESET, MILLIS);
        if (driver.attemptCount(id) > 1) {
            assertThat(driver.lastAttempt(id).endpointId()).isEqualTo(first);
        } else {
            assertThat(driver.hasEmitted(new Fail(id))).isTrue();
        }
    }

    /**
     * Endpoints forget an idempotency key when its deduplication window has passed. A retry after that would execute
     * the request a second time, so the request fails.
     */
    @Test
    void deduplicatedRequestIsNotRetriedPastItsWindow() {
        var shortWindow = requestClass("pay")
                .priorityWeight(10)
                .deduplicated(DeduplicationScope.ZONE, 100 * MILLIS)
                .build();
        var shortWindowDriver = new LoadBalancerDriver(
                minimalSettings().requestClasses(shortWindow).build());
        shortWindowDriver.snapshot(endpoint("a"), endpoint("b"));
        String id = shortWindowDriver.submit(shortWindow);
        shortWindowDriver.nowUs += 100 * MILLIS;
        assertThat(shortWindowDriver.endAttempt(id, AttemptOutcome.RESET, 100 * MILLIS))
                .contains(new Fail(id));
        assertThat(shortWindowDriver.attemptCount(id)).isEqualTo(1);
    }

    /**
     * An endpoint sees a retry when its first byte arrives, and a new connection may take up to the connect timeout to
     * be established. A retry that starts just before the end of the deduplication window could arrive after it, so the
     * last permitted start is earlier by the connect timeout.
     */
    @Test
    void deduplicatedRequestIsNotRetriedIfItMayBeginPastItsWindow() {
        long connectTimeoutUs = 200 * MILLIS;
        var shortWindow = requestClass("pay")
                .priorityWeight(10)
                .deduplicated(DeduplicationScope.ZONE, 400 * MILLIS)
                .build();
        var shortWindowDriver = new LoadBalancerDriver(minimalSettings()
                .requestClasses(shortWindow)
                .limits(limits().connectTimeoutUs(connectTimeoutUs).build())
                .build());
        shortWindowDriver.snapshot(endpoint("a"), endpoint("b"), endpoint("c"));
        String lateRetry = shortWindowDriver.submit(shortWindow);
        String earlyRetry = shortWindowDriver.submit(shortWindow);
        shortWindowDriver.nowUs += shortWindow.deduplicationWindowUs() - connectTimeoutUs - 1;
        shortWindowDriver.endAttempt(earlyRetry, AttemptOutcome.RESET, 0);
        assertThat(shortWindowDriver.attemptCount(earlyRetry)).isEqualTo(2);
        shortWindowDriver.nowUs += 1;
        assertThat(shortWindowDriver.endAttempt(lateRetry, AttemptOutcome.RESET, 0))
                .contains(new Fail(lateRetry));
        assertThat(shortWindowDriver.attemptCount(lateRetry)).isEqualTo(1);
    }

    /**
     * After a rejection, the client retries through any proxy, which may choose an endpoint in another zone. A request
     * that is deduplicated only within one zone and may have executed must fail instead.
     */
    @Test
    void zoneDeduplicatedRequestThatMayHaveExecutedFails() {
        driver.snapshot(endpoint("a"));
        String id = driver.submit(PAY);
        driver.nowUs += PAY.deadlineUs();
        assertThat(driver.endAttempt(id, AttemptOutcome.TIMEOUT, PAY.deadlineUs()))
                .containsExactly(new Fail(id));
    }

    /**
     * All endpoints share the idempotency keys, so a retry by the client is harmless everywhere, even if the request
     * has executed.
     */
    @Test
    void requestDeduplicatedByAllEndpointsMayBeRejected() {
        driver.snapshot(endpoint("a"));
        String id = driver.submit(NOTE);
        driver.nowUs += NOTE.deadlineUs();
        assertThat(driver.endAttempt(id, AttemptOutcome.TIMEOUT, NOTE.deadlineUs()))
                .containsExactly(new Reject(id, 0));
    }

    /**
     * The settings say that an endpoint may reject requests that it has begun to execute. A rejection then proves
     * nothing: it counts like any other failure, for retries and for the final answer.
     */
    @Nested
    class WhenARejectionMayHaveExecuted {
        private final LoadBalancerDriver driver = new LoadBalancerDriver(settings()
                .safetyLimits(safetyLimits().rejectedMayHaveExecuted(true).build())
                .build());

        /** A request that is not idempotent may have executed although it was rejected: it fails. */
        @Test
        void nonIdempotentRequestFails() {
            driver.snapshot(endpoint("a"), endpoint("b"));
            String id = driver.submit(VOTE);
            assertThat(driver.endAttempt(id, AttemptOutcome.REJECTED, MILLIS)).containsExactly(new Fail(id));
        }

        /** A retry may go to another cell of the same zone, but never to another zone. */
        @Test
        void zoneDeduplicatedRequestIsRetriedInItsZoneOnly() {
            driver.snapshot(endpointIn("a", "a", 1), endpointIn("b", "b", 2), endpointIn("c", "a", 3));
            String id = driver.submit(PAY);
            driver.endAttempt(id, AttemptOutcome.REJECTED, MILLIS);
            assertThat(driver.attemptCount(id)).isEqualTo(2);
            assertThat(driver.lastAttempt(id).endpointId()).isIn("a", "c");
        }

        /**
         * The deduplication window has passed, so the request must not be retried. A rejection would invite the client
         * to do so.
         */
        @Test
        void deduplicatedRequestPastItsWindowFails() {
            driver.snapshot(endpoint("a"));
            String id = driver.submit(PAY);
            driver.nowUs += PAY.deduplicationWindowUs();
            assertThat(driver.endAttempt(id, AttemptOutcome.REJECTED, MILLIS)).containsExactly(new Fail(id));
        }

        /** A retry by the client is harmless at every endpoint, so the request may be rejected. */
        @Test
        void requestDeduplicatedByAllEndpointsIsStillRejected() {
            driver.snapshot(endpoint("a"));
            String id = driver.submit(NOTE);
            driver.nowUs += NOTE.latencyObjectiveUs();
            assertThat(driver.endAttempt(id, AttemptOutcome.REJECTED, MILLIS)).containsExactly(new Reject(id, 0));
        }
    }
}
