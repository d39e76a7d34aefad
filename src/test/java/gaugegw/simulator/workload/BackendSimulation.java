package gaugegw.simulator.workload;

/** Serves attempts: decides how long each takes and how it ends, and sends the proxy the events of its course. */
final class BackendSimulation {
    private static final long CONNECT_REFUSED_US = 1_500;
    private static final long SHED_US = 1_200;
    private static final long NOT_PROCESSED_US = 500;
    private static final long MIN_ERROR_US = 1_000;
    private static final long MIN_LATENCY_US = 800;
    private static final int LATENCY_JITTER_US = 4_000;
    private static final long NEVER_US = Long.MAX_VALUE;

    private static final double CONNECT_TIMEOUT_PROBABILITY = 0.5;
    /** Probability that a backend sheds a request although it has capacity, at load 1. */
    private static final double SHED_PROBABILITY = 0.002;

    private static final double NOT_PROCESSED_PROBABILITY = 0.01;
    private static final double APPLICATION_ERROR_PROBABILITY = 0.7;
    private static final double BROKEN_STREAM_PROBABILITY = 0.05;
    private static final double DISCONNECT_ON_ANSWER_PROBABILITY = 0.01;
    private static final double LOAD_REPORT_PROBABILITY = 0.3;

    /** Probability that a backend stays slow for a while after a slow attempt. */
    private static final double SLOWDOWN_PROBABILITY = 0.02;

    private static final long SLOWDOWN_US = 500_000;
    private static final long MAX_STREAM_US = 2_000_000;

    private static final double ERROR_RATE = 0.004;
    private static final double RAISED_ERROR_RATE = 0.06;
    private static final double FAULTY_ERROR_RATE = 0.8;
    /** The error rate is normal and raised for periods of this length in turn. */
    private static final long ERROR_RATE_PERIOD_US = 20_000_000;

    private record Completion(AttemptOutcome outcome, long latencyUs) {}

    private final SimulationContext context;

    BackendSimulation(SimulationContext context) {
        this.context = context;
    }

    /** Starts an attempt; {@code maxWaitUs} is the proxy's timeout, or 0 for the time that the client still waits. */
    void startAttempt(SimulatedRequest request, SimulatedBackend backend, long maxWaitUs) {
        SimulatedAttempt attempt = request.startAttempt(backend, context.nowUs());
        long remainingUs = request.deadlineUs() - context.nowUs();
        long timeoutUs = maxWaitUs == 0 ? remainingUs : Math.min(maxWaitUs, remainingUs);
        Completion completion = complete(attempt, timeoutUs);
        long latencyUs = completion.latencyUs();
        if (streams(request, completion) && latencyUs / 2 < timeoutUs) {
            scheduleStream(attempt, latencyUs);
        } else if (latencyUs > timeoutUs) {
            scheduleEnd(attempt, AttemptOutcome.TIMED_OUT, Math.max(0, timeoutUs));
        } else {
            scheduleEnd(attempt, completion.outcome(), latencyUs);
        }
        if (request.requestClass().latencyObjectiveUs() < latencyUs) {
            backend.extendSlowdownUntil(
                    context.random().chance(SLOWDOWN_PROBABILITY) ? context.nowUs() + SLOWDOWN_US : 0);
        }
    }

    /** Ends a cancelled attempt shortly, unless its response is already streaming. */
    void cancelAttempt(SimulatedAttempt attempt) {
        if (!attempt.request().isStreaming()) {
            scheduleEnd(attempt, AttemptOutcome.CANCELLED, context.random().between(500, 3_000));
        }
    }

    private Completion complete(SimulatedAttempt attempt, long timeoutUs) {
        SimulatedRequest request = attempt.request();
        SimulatedBackend backend = attempt.backend();
        WorkloadRandom random = context.random();
        long nowUs = context.nowUs();
        long latencyUs = MIN_LATENCY_US
                + backend.serviceTimeUs(request.content().workUs(), context.load(), nowUs)
                + random.below(LATENCY_JITTER_US);
        if (request.isFinished() || request.attemptCount() > ScenarioSettings.MAX_ATTEMPTS || timeoutUs < 0) {
            return new Completion(AttemptOutcome.NOT_PROCESSED, 0);
        }
        if (backend.isUnreachable(nowUs)) {
            return new Completion(
                    AttemptOutcome.CONNECT_FAILED,
                    random.chance(CONNECT_TIMEOUT_PROBABILITY)
                            ? ScenarioSettings.CONNECT_TIMEOUT_US
                            : CONNECT_REFUSED_US);
        }
        if (backend.isHung(nowUs)) {
            return new Completion(AttemptOutcome.TIMED_OUT, NEVER_US);
        }
        if (sheds(backend)) {
            return new Completion(AttemptOutcome.SHED, SHED_US);
        }
        if (random.chance(errorRate(backend, request.requestClass()))) {
            return new Completion(
                    random.chance(APPLICATION_ERROR_PROBABILITY)
                            ? AttemptOutcome.APPLICATION_ERROR
                            : AttemptOutcome.CONNECTION_LOST,
                    Math.max(MIN_ERROR_US, latencyUs / 2));
        }
        if (random.chance(NOT_PROCESSED_PROBABILITY)) {
            return new Completion(AttemptOutcome.NOT_PROCESSED, NOT_PROCESSED_US);
        }
        return new Completion(AttemptOutcome.DELIVERED, latencyUs);
    }

    private boolean sheds(SimulatedBackend backend) {
        return backend.state() == BackendState.DRAINING
                || backend.isOverloaded()
                || context.random().chance(SHED_PROBABILITY * context.load());
    }

    private double errorRate(SimulatedBackend backend, RequestClass requestClass) {
        if (backend.isFailing(context.nowUs(), requestClass)) {
            return FAULTY_ERROR_RATE;
        }
        boolean raised = context.schedule().elapsedUs() / ERROR_RATE_PERIOD_US % 2 == 1;
        return raised ? RAISED_ERROR_RATE : ERROR_RATE;
    }

    private boolean streams(SimulatedRequest request, Completion completion) {
        return context.scenario().streamsResponses()
                && request.requestClass().equals(RequestClass.STREAMED)
                && completion.outcome() == AttemptOutcome.DELIVERED;
    }

    private void scheduleStream(SimulatedAttempt attempt, long latencyUs) {
        WorkloadRandom random = context.random();
        AttemptOutcome outcome =
                random.chance(BROKEN_STREAM_PROBABILITY) ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.DELIVERED;
        long endUs = latencyUs + random.between(0, MAX_STREAM_US);
        context.schedule().scheduleAfter(latencyUs / 2, () -> startStream(attempt));
        scheduleEnd(attempt, outcome, endUs);
    }

    private void startStream(SimulatedAttempt attempt) {
        SimulatedRequest request = attempt.request();
        if (attempt.isEnded() || request.isFinished() || request.isLost()) {
            return;
        }
        request.startStreaming();
        context.events()
                .add("flowing who=" + request.proxy().id() + " op_id=" + request.id() + " cost_time_us="
                        + attempt.durationUs(context.nowUs()) + " go=" + attempt.index() + " backend="
                        + attempt.backend().id());
    }

    private void scheduleEnd(SimulatedAttempt attempt, AttemptOutcome outcome, long delayUs) {
        context.schedule().scheduleAfter(delayUs, () -> endAttempt(attempt, outcome));
    }

    private void endAttempt(SimulatedAttempt attempt, AttemptOutcome outcome) {
        if (attempt.isEnded()) {
            return;
        }
        attempt.end();
        SimulatedRequest request = attempt.request();
        if (request.isLost()) {
            return;
        }
        boolean delivered = outcome == AttemptOutcome.DELIVERED;
        boolean answered = delivered && !request.isFinished();
        if (delivered || request.isStreaming()) {
            request.finish(context.nowUs());
        }
        context.events().add(completedEvent(attempt, outcome));
        // A client may disconnect just as it gets its answer.
        if (answered && context.random().chance(DISCONNECT_ON_ANSWER_PROBABILITY)) {
            context.events().add("hangup who=" + request.proxy().id() + " op_id=" + request.id());
        }
    }

    private String completedEvent(SimulatedAttempt attempt, AttemptOutcome outcome) {
        SimulatedRequest request = attempt.request();
        SimulatedBackend backend = attempt.backend();
        String loadReport = context.random().chance(LOAD_REPORT_PROBABILITY)
                ? " health_info=q:" + backend.attemptsInFlight() + ",lat_ms:14.5"
                : "";
        return "completed who=" + request.proxy().id() + " op_id=" + request.id()
                + (request.isFinished() ? " last=1" : " last=0") + " cost_time_us="
                + attempt.durationUs(context.nowUs()) + " how=" + outcome.wireName() + " backend=" + backend.id()
                + " go=" + attempt.index() + loadReport;
    }
}
