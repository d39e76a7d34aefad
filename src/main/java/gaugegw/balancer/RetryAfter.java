package gaugegw.balancer;

/**
 * Computes the Retry-After of a rejection: the expected time until the requests that are queued now have been answered.
 * A client that retried earlier would only be rejected again.
 */
final class RetryAfter {
    /** The Retry-After is shortened by up to this fraction, so that clients do not retry at the same moment. */
    private static final double JITTER_SHARE = 0.25;
    /** The jitter is taken from this many high bits of the request id's hash. */
    private static final int JITTER_BITS = 16;

    private final long maxUs;
    private final ControlParameters parameters;
    private final EndpointMembership membership;
    private final LoadStatistics load;
    private final AdmissionQueue queue;

    /**
     * Creates a calculator that keeps no state of its own.
     *
     * @param maxUs the longest Retry-After that may be returned, in microseconds
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

    /**
     * Returns the Retry-After for a request, in microseconds from now. Before jitter, it is at least one latency
     * budget, but never more than the configured maximum.
     */
    long delayUs(PendingRequest request, long nowUs) {
        double delayUs = Math.min(Math.max(parameters.latencyBudgetUs(), queueDelayUs(nowUs)), maxUs);
        return (long) ((1 - JITTER_SHARE * jitter(request)) * delayUs);
    }

    /** Returns the expected time until the queue is answered, or one refresh period without a ready endpoint. */
    private double queueDelayUs(long nowUs) {
        if (membership.readyEndpoints().isEmpty()) {
            return parameters.refreshPeriodUs();
        }
        double minResponsesPerUs = 1.0 / parameters.refreshPeriodUs();
        return queue.size() / Math.max(load.responsesPerUs(nowUs), minResponsesPerUs);
    }

    /** Returns a value from 0 to below 1 that depends only on the request id. */
    private static double jitter(PendingRequest request) {
        int highBits = HashMixer.mix(request.id().hashCode()) >>> (Integer.SIZE - JITTER_BITS);
        return highBits / (double) (1 << JITTER_BITS);
    }
}
