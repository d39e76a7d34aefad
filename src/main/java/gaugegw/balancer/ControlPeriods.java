package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.RequestClass;

/**
 * The two periods that the decisions are scaled by, both derived from the latency objectives of the request classes.
 *
 * @param latencyBudgetUs time that attempts in flight may take at the concurrency limit, in microseconds
 * @param refreshUs time between two refreshes of the weights, and the time constant of rates, in microseconds
 */
record ControlPeriods(long latencyBudgetUs, long refreshUs) {
    /** Attempts in flight may take this part of the shortest latency objective, and queued requests as much again. */
    private static final double LATENCY_BUDGET_SHARE = 1 / 5.0;
    /** A refresh period is this multiple of the longest latency objective. */
    private static final int REFRESH_OBJECTIVES = 2;

    static ControlPeriods of(BalancerSettings settings) {
        var objectivesUs = settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveUs)
                .summaryStatistics();
        return new ControlPeriods(
                (long) (LATENCY_BUDGET_SHARE * objectivesUs.getMin()), REFRESH_OBJECTIVES * objectivesUs.getMax());
    }
}
