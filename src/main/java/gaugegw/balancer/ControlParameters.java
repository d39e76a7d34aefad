package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.RequestClass;

/**
 * The time scales of the load balancer, derived from the latency objectives, and the window sizes of its statistics.
 *
 * @param latencyBudgetUs time in which the attempts in flight at the concurrency limit are to be completed, in
 *     microseconds
 * @param refreshPeriodUs time between two refreshes of the weights, in microseconds; also the time constant of other
 *     averages and the first backoff after a failure
 */
record ControlParameters(long latencyBudgetUs, long refreshPeriodUs) {
    /**
     * The latency budget as a fraction of the shortest latency objective. The admission queue holds as many requests as
     * the concurrency limit admits, so waiting there takes about as long again.
     */
    private static final double LATENCY_BUDGET_FRACTION = 1 / 5.0;
    /** The refresh period as a multiple of the longest latency objective. */
    private static final int REFRESH_PERIOD_OBJECTIVES = 2;

    /** Window of a latency average, in samples; long enough that the weights change slowly. */
    static final int LATENCY_WINDOW_SAMPLES = 1024;
    /** Minimum number of samples for a reliable mean latency. */
    static final int MIN_RELIABLE_SAMPLES = LATENCY_WINDOW_SAMPLES / 32;
    /** Weight of a kind's average latency in the expected latency of an endpoint, in samples of the endpoint. */
    static final double KIND_PRIOR_SAMPLES = 4;
    /** Factor by which older values decay per refresh period: an endpoint's own samples, and the throughput average. */
    static final double REFRESH_DECAY_FACTOR = 0.8;
    /** Window of the error and timeout rates, in attempts. */
    static final double OUTCOME_WINDOW_ATTEMPTS = 256;
    /** Window of the rejection rate, in completed requests. */
    static final double REJECTION_WINDOW_REQUESTS = 16;

    /** Derives the parameters from the latency objectives of the request classes. */
    static ControlParameters of(BalancerSettings settings) {
        var objectivesUs = settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveUs)
                .summaryStatistics();
        return new ControlParameters(
                (long) (LATENCY_BUDGET_FRACTION * objectivesUs.getMin()),
                REFRESH_PERIOD_OBJECTIVES * objectivesUs.getMax());
    }
}
