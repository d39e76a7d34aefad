package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.RequestClass;

/**
 * The periods that scale the decisions, in microseconds: the time that attempts in flight may take at the concurrency
 * limit, and the time from one refresh of the weights to the next. Also how much the measurements remember.
 */
record ControlParameters(long latencyBudgetUs, long refreshPeriodUs) {
    /** Attempts in flight may take this part of the shortest latency objective, queued requests as much again. */
    private static final double LATENCY_BUDGET_SHARE = 1 / 5.0;
    /** The refresh period in longest latency objectives. */
    private static final int REFRESH_OBJECTIVES = 2;

    /** Samples that an average of latencies remembers: so many that the weights drift slowly. */
    static final int LATENCY_WINDOW_SAMPLES = 1024;
    /** Fewer answers than this do not give a reliable mean latency. */
    static final int MIN_RELIABLE_SAMPLES = LATENCY_WINDOW_SAMPLES / 32;
    /** The average of a kind counts as this many of an endpoint's own samples. */
    static final double KIND_PRIOR_SAMPLES = 4;
    /** What a refresh period keeps of an endpoint's own samples, and of the throughput's average. */
    static final double REFRESH_DECAY_FACTOR = 0.8;
    /** Attempts that the shares of errors and time-outs remember. */
    static final double OUTCOME_WINDOW_ATTEMPTS = 256;
    /** Ended requests that the share of rejections remembers. */
    static final double REJECTION_WINDOW_REQUESTS = 16;

    static ControlParameters of(BalancerSettings settings) {
        var objectivesUs = settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveUs)
                .summaryStatistics();
        return new ControlParameters(
                (long) (LATENCY_BUDGET_SHARE * objectivesUs.getMin()), REFRESH_OBJECTIVES * objectivesUs.getMax());
    }
}
