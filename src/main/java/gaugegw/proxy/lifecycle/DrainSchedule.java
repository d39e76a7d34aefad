package gaugegw.proxy.lifecycle;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.RequestClass;

/**
 * The times of the steps of a graceful shutdown, in milliseconds after its start. Readiness checks fail from the start.
 * If the longest deadline is below {@code ACCEPT_GRACE_MS}, idle connections are closed before the proxy stops
 * accepting new ones.
 *
 * @param stopAcceptingMs when the proxy stops accepting connections
 * @param closeAfterResponsesMs from when on a connection is closed with its next response, so that its client
 *     reconnects to another proxy
 * @param closeIdleMs when connections without a request are closed
 * @param failRemainingMs when requests that have no response yet are failed
 * @param exitMs when the process ends, even if connections are still open
 */
record DrainSchedule(
        long stopAcceptingMs, long closeAfterResponsesMs, long closeIdleMs, long failRemainingMs, long exitMs) {
    /**
     * Time for which new connections are accepted, in milliseconds. They keep arriving for up to 400 ms after SIGTERM,
     * and the requests of a client that is refused would be lost.
     */
    private static final long ACCEPT_GRACE_MS = 500;

    /**
     * Time before idle connections are closed, in milliseconds, from which each connection is closed after its next
     * response. In this time, clients that keep sending requests reconnect to another proxy.
     */
    private static final long RECONNECT_PERIOD_MS = 500;

    /**
     * Upper bound on the longest deadline of the request classes, in milliseconds. SIGKILL is sent 700 ms after the
     * longest deadline or after this bound, whichever is earlier.
     */
    private static final long MAX_DEADLINE_MS = 3_000;

    /**
     * Time from the longest deadline to the end of the process, in milliseconds. The process must end before SIGKILL is
     * sent.
     */
    private static final long EXIT_DELAY_MS = 600;

    /** Time to write the responses to failed requests before the process ends, in milliseconds. */
    private static final long FAILURE_RESPONSE_PERIOD_MS = 50;

    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * Returns the schedule for the given settings. A request that is in flight at the start is not failed before its
     * deadline, unless the deadline is above the upper bound.
     */
    static DrainSchedule of(BalancerSettings settings) {
        long deadlineMs = Math.min(MAX_DEADLINE_MS, longestDeadlineMs(settings));
        long exitMs = deadlineMs + EXIT_DELAY_MS;
        return new DrainSchedule(
                ACCEPT_GRACE_MS,
                Math.max(0, deadlineMs - RECONNECT_PERIOD_MS),
                deadlineMs,
                exitMs - FAILURE_RESPONSE_PERIOD_MS,
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
