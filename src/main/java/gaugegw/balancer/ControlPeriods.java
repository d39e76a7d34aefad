package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.RequestClass;

/**
 * The periods that scale the decisions, in microseconds: the time that attempts in flight may take at the concurrency
 * limit, and the time from one refresh of the weights to the next.
 */
record ControlPeriods(long latencyBudgetUs, long refreshUs) {
    /** Attempts in flight may take this part of the shortest latency objective, queued requests as much again. */
    private static final double LATENCY_BUDGET_SHARE = 1 / 5.0;
    /** The refresh period in longest latency objectives. */
    private static final int REFRESH_OBJECTIVES = 2;

    static ControlPeriods of(BalancerSettings settings) {
        var objectivesUs = settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveUs)
                .summaryStatistics();
        return new ControlPeriods(
                (long) (LATENCY_BUDGET_SHARE * objectivesUs.getMin()), REFRESH_OBJECTIVES * objectivesUs.getMax());
    }
}
