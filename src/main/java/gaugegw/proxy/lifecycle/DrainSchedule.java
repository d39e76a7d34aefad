package gaugegw.proxy.lifecycle;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.RequestClass;

/**
 * When the steps of a graceful shutdown are due, in milliseconds after its begin.
 *
 * @param stopAcceptingMs no connection is accepted any more
 * @param closeAfterResponsesMs each response is its connection's last, so that clients reconnect to another proxy
 * @param closeIdleMs connections without a request are closed
 * @param failRemainingMs requests without a response are failed
 * @param exitMs the process ends, whatever is still open
 */
record DrainSchedule(
        long stopAcceptingMs, long closeAfterResponsesMs, long closeIdleMs, long failRemainingMs, long exitMs) {
    /** New connections keep arriving for up to 400 ms after SIGTERM; those refused would be lost. */
    private static final long ACCEPT_GRACE_MS = 500;

    /** Time in which clients that keep sending leave with a response, before idle connections are closed. */
    private static final long RECONNECT_PERIOD_MS = 500;

    /** SIGKILL comes 700 ms after the longest deadline, of which no more than this counts. */
    private static final long MAX_DEADLINE_MS = 3_000;

    /** Time from the longest deadline to the end of the process, which is to come before SIGKILL. */
    private static final long EXIT_DELAY_MS = 600;

    /** Time in which the responses to failed requests are written before the process ends. */
    private static final long FAIL_BEFORE_EXIT_MS = 50;

    private static final long MICROS_PER_MILLI = 1_000;

    /** Returns the schedule under which every request in flight has its deadline's time for a response, or the longest that counts. */
    static DrainSchedule of(BalancerSettings settings) {
        long deadlineMs = Math.min(MAX_DEADLINE_MS, longestDeadlineMs(settings));
        long exitMs = deadlineMs + EXIT_DELAY_MS;
        return new DrainSchedule(
                ACCEPT_GRACE_MS,
                Math.max(0, deadlineMs - RECONNECT_PERIOD_MS),
                deadlineMs,
                exitMs - FAIL_BEFORE_EXIT_MS,
                exitMs);
    }

    private static long longestDeadlineMs(BalancerSettings settings) {
        long longestUs = settings.requestClasses().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        return longestUs / MICROS_PER_MILLI;
    }
}
