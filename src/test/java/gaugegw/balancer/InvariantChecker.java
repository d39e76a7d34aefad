package gaugegw.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.CancelAttempt;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records all requests and attempts independently of the load balancer, and asserts the following invariants:
 *
 * <ul>
 *   <li>Each request gets exactly one final answer, no later than three ticks after its deadline.
 *   <li>No request takes effect twice.
 *   <li>No attempt starts at an endpoint that is not ready.
 *   <li>Attempts at an endpoint in slow start stay within the budget.
 *   <li>No action violates the limits in the settings.
 * </ul>
 */
final class InvariantChecker {
    /** Upper bound on the full capacity of an endpoint. The mean latency is over 25 ms, and 1 s / 25 ms is 40. */
    private static final int MAX_RESPONSES_PER_SECOND = 40;

    /** An attempt, which is in flight until it has an outcome. */
    static final class Attempt {
        private final Endpoint endpoint;
        private final long startedAtUs;
        private AttemptOutcome outcome;

        private Attempt(Endpoint endpoint, long startedAtUs) {
            this.endpoint = endpoint;
            this.startedAtUs = startedAtUs;
        }

        /** Returns the endpoint's list entry at the start of the attempt. */
        Endpoint endpoint() {
            return endpoint;
        }

        long startedAtUs() {
            return startedAtUs;
        }

        private boolean mayHaveExecuted(SafetyLimits safetyLimits) {
            return outcome == null
                    || !outcome.provesNotExecuted()
                    || (outcome == AttemptOutcome.REJECTED && safetyLimits.rejectedMayHaveExecuted());
        }
    }

    private static final class Request {
        private final RequestClass requestClass;
        private final long deadlineUs;
        private final List<Attempt> attempts = new ArrayList<>();
        private boolean finished;

        Request(RequestClass requestClass, long deadlineUs) {
            this.requestClass = requestClass;
            this.deadlineUs = deadlineUs;
        }
    }

    private final BalancerSettings settings;
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<String, List<Long>> slowStartAttempts = new HashMap<>();
    private int finalAnswers;
    private int attemptsStarted;

    InvariantChecker(BalancerSettings settings) {
        this.settings = settings;
    }

    int finalAnswers() {
        return finalAnswers;
    }

    int attemptsStarted() {
        return attemptsStarted;
    }

    void requestArrived(String id, RequestClass requestClass, long deadlineUs) {
        requests.put(id, new Request(requestClass, deadlineUs));
    }

    boolean isInFlight(String requestId, int attempt) {
        Request request = requests.get(requestId);
        return request != null && request.attempts.get(attempt).outcome == null;
    }

    /** Records the end of an attempt in flight. Returns whether its request now has its final answer. */
    boolean attemptEnded(String requestId, int attempt, AttemptOutcome outcome) {
        Request request = requests.get(requestId);
        request.attempts.get(attempt).outcome = outcome;
        if (outcome == AttemptOutcome.SUCCESS && !request.finished) {
            request.finished = true;
            finalAnswers++;
        }
        return request.finished;
    }

    /** Records that the client has disconnected. Returns false if the request already had its final answer. */
    boolean clientDisconnected(String requestId) {
        Request request = requests.get(requestId);
        if (request == null || request.finished) {
            return false;
        }
        request.finished = true;
        finalAnswers++;
        return true;
    }

    /** Records a final answer from the load balancer. Asserts that the request had none before. */
    void finished(String requestId) {
        Request request = requests.get(requestId);
        assertThat(request.finished)
                .as("the request already has its final answer")
                .isFalse();
        request.finished = true;
        finalAnswers++;
    }

    /** Records a rejection. Asserts that a retry by the client, through any proxy, cannot take effect twice. */
    void rejected(String requestId) {
        Request request = requests.get(requestId);
        for (Attempt attempt : request.attempts) {
            if (attempt.mayHaveExecuted(settings.safetyLimits())) {
                Idempotency idempotency = request.requestClass.idempotency();
                assertThat(idempotency).isNotEqualTo(Idempotency.NOT_IDEMPOTENT);
                assertThat(idempotency == Idempotency.IDEMPOTENT
                                || request.requestClass.deduplicationScope() == DeduplicationScope.ALL)
                        .isTrue();
            }
        }
        finished(requestId);
    }

    /** Asserts that cancellation is permitted. Returns the attempt to cancel. */
    Attempt attemptCancelled(CancelAttempt cancel) {
        assertThat(settings.limits().cancellation()).isTrue();
        return requests.get(cancel.requestId()).attempts.get(cancel.attempt());
    }

    /** Asserts that the load balancer watches the endpoint list only if updates arrive on request. */
    void endpointsWatched() {
        assertThat(settings.limits().endpointUpdatesOnRequest()).isTrue();
    }

    /**
     * Records the start of an attempt and asserts that it may start now.
     *
     * @param endpoint the current list entry of the endpoint, or null if there is none
     * @return the number of the attempt within its request, from 0
     */
    int attemptStarted(StartAttempt start, Endpoint endpoint, long nowUs) {
        Request request = requests.get(start.requestId());
        attemptsStarted++;
        assertThat(request.finished)
                .as("the request already has its final answer")
                .isFalse();
        assertThat(endpoint).as("list entry of the endpoint").isNotNull();
        assertThat(endpoint.state()).isEqualTo(EndpointState.READY);
        assertThat(request.attempts.size()).isLessThan(settings.limits().maxAttempts());
        assertThat(start.timeoutUs()).isPositive();
        assertThat(nowUs + start.timeoutUs()).isLessThanOrEqualTo(request.deadlineUs);
        for (Attempt earlier : request.attempts) {
            assertThat(settings.limits().hedging() || earlier.outcome != null).isTrue();
            if (earlier.mayHaveExecuted(settings.safetyLimits())
                    && request.requestClass.idempotency() != Idempotency.IDEMPOTENT) {
                checkDeduplicated(request.requestClass, earlier, endpoint, nowUs);
            }
        }
        checkSlowStartBudget(endpoint, nowUs);
        request.attempts.add(new Attempt(endpoint, nowUs));
        return request.attempts.size() - 1;
    }

    /**
     * Asserts that the endpoint deduplicates a repeat of an earlier attempt: it is within the scope, and the window
     * cannot end before the repeat reaches the endpoint.
     */
    private void checkDeduplicated(RequestClass requestClass, Attempt earlier, Endpoint endpoint, long nowUs) {
        assertThat(requestClass.idempotency()).isEqualTo(Idempotency.IDEMPOTENT_WITH_KEY);
        assertThat(nowUs + settings.limits().connectTimeoutUs())
                .isLessThan(earlier.startedAtUs + requestClass.deduplicationWindowUs());
        assertThat(
                        switch (requestClass.deduplicationScope()) {
                            case ALL -> true;
                            case ZONE -> earlier.endpoint.zone().equals(endpoint.zone());
                            case CELL -> earlier.endpoint.cell() == endpoint.cell();
                        })
                .isTrue();
    }

    /** Asserts that attempts at an endpoint in slow start stay within this proxy's share of the overload limit. */
    private void checkSlowStartBudget(Endpoint endpoint, long nowUs) {
        SafetyLimits safetyLimits = settings.safetyLimits();
        if (endpoint.startedAtUs() == 0 || nowUs - endpoint.startedAtUs() >= safetyLimits.slowStartUs()) {
            return;
        }
        List<Long> attemptTimesUs = slowStartAttempts.computeIfAbsent(
                endpoint.id() + "@" + endpoint.startedAtUs(), key -> new ArrayList<>());
        attemptTimesUs.add(nowUs);
        long inWindow = attemptTimesUs.stream()
                .filter(timeUs -> timeUs > nowUs - safetyLimits.overloadWindowUs())
                .count();
        double capacity = safetyLimits.initialCapacityFraction()
                + (1 - safetyLimits.initialCapacityFraction())
                        * (nowUs - endpoint.startedAtUs())
                        / safetyLimits.slowStartUs();
        double budget = safetyLimits.overloadMultiple()
                * capacity
                * MAX_RESPONSES_PER_SECOND
                * safetyLimits.overloadWindowUs()
                / 1e6
                / settings.proxyCount();
        assertThat((double) inWindow)
                .as("attempts in slow start within one overload window")
                .isLessThanOrEqualTo(Math.max(2, budget));
    }

    /**
     * Asserts that no request is without a final answer three ticks after its deadline. Then removes the finished
     * requests that have no attempts in flight.
     */
    void checkDeadlines(long nowUs) {
        for (Request request : requests.values()) {
            assertThat(request.finished || nowUs <= request.deadlineUs + 3 * RandomEventSimulation.TICK_US)
                    .as("final answer no later than three ticks after the deadline")
                    .isTrue();
        }
        requests.values()
                .removeIf(request ->
                        request.finished && request.attempts.stream().allMatch(attempt -> attempt.outcome != null));
    }
}
