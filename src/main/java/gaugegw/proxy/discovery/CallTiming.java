package gaugegw.proxy.discovery;

import gaugegw.balancer.DiscoveryBackoff;
import gaugegw.balancer.api.BalancerSettings;
import java.util.concurrent.TimeUnit;

/**
 * How long calls to discovery may take. The times follow from when an endpoint change must be in force: 6 s after
 * discovery had it and could be reached, 3 s after the end of the hold of a call that missed it, or 1 s after a local agent
 * had it and could be reached.
 *
 * @param firstTimeoutMs time beyond its hold after which the first call of the process has failed, in milliseconds
 * @param timeoutMs the same for each further call, in milliseconds
 * @param holdMs how long a call of a watch may be held at most, in milliseconds, before jitter
 */
record CallTiming(long firstTimeoutMs, long timeoutMs, long holdMs) {
    /**
     * Time beyond its hold after which a call to a service has failed, in milliseconds. The change that a call missed must
     * be in force 3 s after its hold: that leaves time for one more call that fails.
     */
    private static final long SERVICE_CALL_TIMEOUT_MS =
            TimeUnit.MICROSECONDS.toMillis(DiscoveryBackoff.CALL_TIMEOUT_US);
    /**
     * Time beyond its hold after which a call to a local agent has failed, in milliseconds. An agent answers at once, and
     * what it has must be in force 1 s after it could be reached again: two calls that fail, and the delay of
     * {@link #AGENT_RETRY_DELAY_MS} after each, take that long.
     */
    private static final long AGENT_CALL_TIMEOUT_MS = 450;
    /** Delay between a failed call to a local agent and the next, in milliseconds. */
    static final long AGENT_RETRY_DELAY_MS = 50;

    /** {@link #SERVICE_CALL_TIMEOUT_MS} for the first call of a process, which has yet to load the code that it runs. */
    static final long FIRST_SERVICE_CALL_TIMEOUT_MS = 2_000;
    /** {@link #AGENT_CALL_TIMEOUT_MS} for the first call of a process, which has yet to load the code that it runs. */
    private static final long FIRST_AGENT_CALL_TIMEOUT_MS = 600;

    /** The longest hold that discovery accepts, in milliseconds. */
    private static final long MAX_HOLD_MS = 60_000;
    /** The shortest limit of the hold, in milliseconds, unless the settings demand more frequent polls. */
    private static final long MIN_HOLD_MS = 1_500;
    /**
     * Hold for each proxy of the fleet, in milliseconds. Each empty response is work for the service that all proxies
     * share, so its load must not grow with their number.
     */
    private static final long HOLD_PER_PROXY_MS = 500;

    /** Returns the times for a service that all proxies share, or for an agent on the proxy's own machine. */
    static CallTiming of(BalancerSettings settings, boolean hasLocalAgent) {
        return hasLocalAgent
                ? new CallTiming(FIRST_AGENT_CALL_TIMEOUT_MS, AGENT_CALL_TIMEOUT_MS, holdMs(settings, MIN_HOLD_MS))
                : new CallTiming(
                        FIRST_SERVICE_CALL_TIMEOUT_MS,
                        SERVICE_CALL_TIMEOUT_MS,
                        holdMs(settings, serviceHoldMs(settings)));
    }

    private static long serviceHoldMs(BalancerSettings settings) {
        return Math.max(MIN_HOLD_MS, HOLD_PER_PROXY_MS * settings.proxyCount());
    }

    /**
     * Limits a hold to twice the poll interval. A call whose other end has vanished looks like one that is held: until its
     * response is overdue no update arrives.
     */
    private static long holdMs(BalancerSettings settings, long wantedMs) {
        long twicePollIntervalMs = 2 * settings.safetyLimits().pollIntervalUs() / 1_000;
        return Math.min(Math.min(MAX_HOLD_MS, wantedMs), twicePollIntervalMs);
    }
}
