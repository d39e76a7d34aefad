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
 * Records every request and attempt on its own and asserts the invariants on each action: one final answer in time, no
 * duplicate effect, no attempt on an endpoint that is not ready, slow start within its budget, and nothing that the
 * settings rule out.
 */
final class InvariantChecker {
    /** Answers take over 25 ms on average, so an endpoint at full capacity gives fewer than so many per second. */
    private static final int MAX_ANSWERS_PER_SECOND = 40;

    /** An attempt; without an outcome it is in flight. */
    static final class Attempt {
        private final Endpoint endpoint;
        private final long startedAtUs;
        private AttemptOutcome outcome;

        private Attempt(Endpoint endpoint, long startedAtUs) {
            this.endpoint = endpoint;
            this.startedAtUs = startedAtUs;
        }

        /** Returns the endpoint as it was listed when the attempt started. */
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

    /** Records the end of an attempt in flight; returns whether its request is finished, by this or before. */
    boolean attemptEnded(String requestId, int attempt, AttemptOutcome outcome) {
        Request request = requests.get(requestId);
        request.attempts.get(attempt).outcome = outcome;
        if (outcome == AttemptOutcome.SUCCESS && !request.finished) {
            request.finished = true;
            finalAnswers++;
        }
        return request.finished;
    }

    /** Records a disconnect; returns false if the request was finished before. */
    boolean clientDisconnected(String requestId) {
        Request request = requests.get(requestId);
        if (request == null || request.finished) {
            return false;
        }
        request.finished = true;
        finalAnswers++;
        return true;
    }

    void finished(String requestId) {
        Request request = requests.get(requestId);
        assertThat(request.finished).as("one final answer").isFalse();
        request.finished = true;
        finalAnswers++;
    }

    /** Asserts that a retry by the client, through any proxy, cannot execute the request twice. */
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

    Attempt attemptCancelled(CancelAttempt cancel) {
        assertThat(settings.limits().cancellation()).isTrue();
        return requests.get(cancel.requestId()).attempts.get(cancel.attempt());
    }

    void endpointsWatched() {
        assertThat(settings.limits().endpointUpdatesOnRequest()).isTrue();
    }

    /**
     * Asserts that an attempt may start now.
     *
     * @param endpoint the endpoint as it is listed, null if it is not
     * @return the number of the attempt within its request, from 0
     */
    int attemptStarted(StartAttempt start, Endpoint endpoint, long nowUs) {
        Request request = requests.get(start.requestId());
        attemptsStarted++;
        assertThat(request.finished).as("nothing after the final answer").isFalse();
        assertThat(endpoint).as("an endpoint on the list").isNotNull();
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

    /** Asserts that the endpoint knows the key of an earlier attempt and cannot have forgotten it when it is reached. */
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

    /** Asserts that an endpoint in slow start gets no more than this proxy's part of what would overload it. */
    private void checkSlowStartBudget(Endpoint endpoint, long nowUs) {
        SafetyLimits safetyLimits = settings.safetyLimits();
        if (endpoint.startedAtUs() == 0 || nowUs - endpoint.startedAtUs() >= safetyLimits.slowStartUs()) {
            return;
        }
        List<Long> attemptTimesUs = slowStartAttempts.computeIfAbsent(
                endpoint.id() + "@" + endpoint.startedAtUs(), process -> new ArrayList<>());
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
                * MAX_ANSWERS_PER_SECOND
                * safetyLimits.overloadWindowUs()
                / 1e6
                / settings.proxyCount();
        assertThat((double) inWindow).as("slow start budget").isLessThanOrEqualTo(Math.max(2, budget));
    }

    /** Asserts that no request is without a final answer past its deadline, and forgets those that are over. */
    void checkDeadlines(long nowUs) {
        for (Request request : requests.values()) {
            assertThat(request.finished || nowUs <= request.deadlineUs + 3 * RandomEventSimulation.TICK_US)
                    .as("answered before the client leaves")
                    .isTrue();
        }
        requests.values()
                .removeIf(request ->
                        request.finished && request.attempts.stream().allMatch(attempt -> attempt.outcome != null));
    }
}
