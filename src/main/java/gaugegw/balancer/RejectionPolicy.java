package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import java.util.function.Consumer;

/** Gives the final answer to a request that is not attempted any more. */
final class RejectionPolicy {
    /** Clients are spread over this part of the Retry-After, so that they do not retry at the same moment. */
    private static final double RETRY_AFTER_JITTER = 0.25;

    private final long maxRetryAfterUs;
    private final ControlPeriods periods;
    private final EndpointMembership membership;
    private final LoadMeasurement load;
    private final AdmissionQueue queue;
    private final DuplicateExecutionGuard duplicateGuard;
    private final OutcomeRates rates;
    private final RequestRegistry registry;

    /**
     * Creates a policy that keeps no state of its own.
     *
     * @param maxRetryAfterUs the longest Retry-After that a client may be given, in microseconds
     */
    RejectionPolicy(
            long maxRetryAfterUs,
            ControlPeriods periods,
            EndpointMembership membership,
            LoadMeasurement load,
            AdmissionQueue queue,
            DuplicateExecutionGuard duplicateGuard,
            OutcomeRates rates,
            RequestRegistry registry) {
        this.maxRetryAfterUs = maxRetryAfterUs;
        this.periods = periods;
        this.membership = membership;
        this.load = load;
        this.queue = queue;
        this.duplicateGuard = duplicateGuard;
        this.rates = rates;
        this.registry = registry;
    }

    /** Ends a request: with a rejection where a retry by the client is harmless, else with a failure. */
    void reject(PendingRequest request, long nowUs, Consumer<Action> actions) {
        rates.recordRejection();
        boolean retryHarmless = duplicateGuard.isClientRetryHarmless(request);
        actions.accept(
                retryHarmless
                        ? new Action.Reject(request.id(), retryAfterUs(request, nowUs))
                        : new Action.Fail(request.id()));
        registry.close(request, actions);
    }

    /** Returns when there may be capacity, in microseconds from now: what is queued now has been answered by then. */
    private long retryAfterUs(PendingRequest request, long nowUs) {
        double queueUs = membership.ready().isEmpty()
                ? periods.refreshUs()
                : queue.size() / Math.max(load.answersPerUs(nowUs), 1.0 / periods.refreshUs());
        double jitter = (HashMixer.mix(request.id().hashCode()) >>> 16) / 65_536.0;
        return (long) ((1 - RETRY_AFTER_JITTER * jitter)
                * Math.min(Math.max(periods.latencyBudgetUs(), queueUs), maxRetryAfterUs));
    }
}
