package gaugegw.balancer;

import static gaugegw.balancer.testing.TestEndpoints.endpoint;
import static gaugegw.balancer.testing.TestSettings.MILLIS;
import static gaugegw.balancer.testing.TestSettings.READ;
import static gaugegw.balancer.testing.TestSettings.SECONDS;
import static gaugegw.balancer.testing.TestSettings.VOTE;
import static gaugegw.balancer.testing.TestSettings.limits;
import static gaugegw.balancer.testing.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.CancelAttempt;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.HealthCheckEnded;
import gaugegw.balancer.api.Event.StreamStarted;
import org.junit.jupiter.api.Test;

/** Each request gets exactly one final answer, while its client still waits for it. */
class RequestCompletionTest {
    private final LoadBalancerDriver driver = new LoadBalancerDriver();

    /**
     * No endpoint becomes free and no other event arrives. Without a timer, a queued request would stay unanswered
     * until its client disconnects. A timer that fires before the deadline must reject it, once.
     */
    @Test
    void timerRejectsAQueuedRequestBeforeItsDeadline() {
        driver.snapshot(endpoint("a"));
        String queued = driver.submit(READ);
        while (driver.attemptCount(queued) > 0) {
            queued = driver.submit(READ);
        }
        SetTimer timer = (SetTimer) driver.actions.get(driver.actions.size() - 1);
        assertThat(timer.atUs()).isBetween(driver.nowUs + 1, driver.nowUs + READ.deadlineUs() - 1);
        driver.advance(READ.latencyObjectiveUs());
        assertThat(driver.actions).containsOnlyOnce(new Reject(queued, 0));
    }

    /** The endpoint list is empty. To queue a request would only delay its rejection. */
    @Test
    void withoutEndpointsARequestIsRejectedAtOnce() {
        driver.snapshot();
        String id = driver.submit(READ);
        assertThat(driver.hasEmitted(new Reject(id, 0))).isTrue();
    }

    /**
     * An attempt times out at the moment when the client stops waiting. The final answer must be emitted for the same
     * event, and the disconnect of the client that follows must not cause a second one.
     */
    @Test
    void timeoutAtTheDeadlineIsAnsweredOnceAndAtOnce() {
        driver.snapshot(endpoint("a"));
        String id = driver.submit(READ);
        driver.nowUs += READ.deadlineUs();
        assertThat(driver.endAttempt(id, AttemptOutcome.TIMEOUT, READ.deadlineUs()))
                .containsExactly(new Reject(id, 0));
        assertThat(driver.handle(new ClientDisconnected(id))).isEmpty();
    }

    /** An attempt that continued past the deadline would work for a client that no longer waits. */
    @Test
    void attemptTimesOutBeforeTheClientsDeadline() {
        driver.snapshot(endpoint("a"));
        String id = driver.submit(VOTE);
        assertThat(driver.lastAttempt(id).timeoutUs()).isBetween(1L, VOTE.deadlineUs());
    }

    /**
     * The client disconnects while an attempt is in flight. The attempt is cancelled, and its end must not be treated
     * as a failure that causes a retry.
     */
    @Test
    void disconnectCancelsTheAttemptAndStartsNoOther() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        String id = driver.submit(READ);
        assertThat(driver.handle(new ClientDisconnected(id))).containsExactly(new CancelAttempt(id, 0));
        assertThat(driver.endAttempt(id, AttemptOutcome.CANCELLED, MILLIS)).isEmpty();
    }

    /** If the settings do not permit cancellation, the attempt is left to end by itself. */
    @Test
    void withoutCancellationADisconnectCausesNoAction() {
        var driverWithoutCancellation = new LoadBalancerDriver(
                settings().limits(limits().cancellation(false).build()).build());
        driverWithoutCancellation.snapshot(endpoint("a"));
        String id = driverWithoutCancellation.submit(READ);
        assertThat(driverWithoutCancellation.handle(new ClientDisconnected(id))).isEmpty();
    }

    /**
     * An event may arrive after the final answer, for a request or an endpoint that is no longer known. It must cause
     * no action and no exception.
     */
    @Test
    void eventsForUnknownRequestsAreIgnored() {
        driver.snapshot(endpoint("a"));
        assertThat(driver.handle(new ClientDisconnected("nobody"))).isEmpty();
        assertThat(driver.handle(new AttemptEnded("nobody", 0, "a", AttemptOutcome.SUCCESS, MILLIS, true)))
                .isEmpty();
        assertThat(driver.handle(new StreamStarted("nobody", 0))).isEmpty();
        assertThat(driver.handle(new HealthCheckEnded("gone", AttemptOutcome.SUCCESS, MILLIS)))
                .isEmpty();
    }

    /**
     * The connection breaks after a response has begun to stream to the client. The client already has a part of that
     * response, so neither a retry nor another final answer may follow.
     */
    @Test
    void brokenStreamGetsNoFurtherAnswer() {
        driver.snapshot(endpoint("a"), endpoint("b"));
        String id = driver.submit(READ);
        driver.handle(new StreamStarted(id, 0));
        assertThat(driver.handle(new AttemptEnded(id, 0, "a", AttemptOutcome.RESET, 3 * SECONDS, true)))
                .isEmpty();
    }
}
