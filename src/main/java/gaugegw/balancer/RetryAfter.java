package gaugegw.balancer;

/**
 * Computes the Retry-After of a rejection: the time until the requests that are queued now have been answered, as a
 * retry before that would only be rejected again.
 */
final class RetryAfter {
    /** Clients are spread over this part of the Retry-After, so that they do not retry at the same moment. */
    private static final double JITTER_SHARE = 0.25;
    /** The high bits of the request id's hash give the jitter. */
    private static final int JITTER_BITS = 16;

    private final long maxUs;
    private final ControlParameters parameters;
    private final EndpointMembership membership;
    private final LoadStatistics load;
    private final AdmissionQueue queue;

    /**
     * Creates a computation that keeps no state of its own.
     *
     * @param maxUs the longest Retry-After that a client may be given, in microseconds
     */
    RetryAfter(
            long maxUs,
            ControlParameters parameters,
            EndpointMembership membership,
            LoadStatistics load,
            AdmissionQueue queue) {
        this.maxUs = maxUs;
        this.parameters = parameters;
        this.membership = membership;
        this.load = load;
        this.queue = queue;
    }

    /** Returns the Retry-After for a request, in microseconds from now. */
    long delayUs(PendingRequest request, long nowUs) {
        double delayUs = Math.min(Math.max(parameters.latencyBudgetUs(), queueDelayUs(nowUs)), maxUs);
        return (long) ((1 - JITTER_SHARE * jitter(request)) * delayUs);
    }

    /** Returns the time to answer what is queued; one refresh period where no endpoint is ready. */
    private double queueDelayUs(long nowUs) {
        if (membership.readyEndpoints().isEmpty()) {
            return parameters.refreshPeriodUs();
        }
        double minAnswersPerUs = 1.0 / parameters.refreshPeriodUs();
        return queue.size() / Math.max(load.responsesPerUs(nowUs), minAnswersPerUs);
    }

    /** Returns a value from 0 to below 1 that is always the same for a request. */
    private static double jitter(PendingRequest request) {
        int highBits = HashMixer.mix(request.id().hashCode()) >>> (Integer.SIZE - JITTER_BITS);
        return highBits / (double) (1 << JITTER_BITS);
    }
}
