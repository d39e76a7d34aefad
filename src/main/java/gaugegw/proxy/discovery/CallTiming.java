package gaugegw.proxy.discovery;

import gaugegw.balancer.DiscoveryBackoff;
import gaugegw.balancer.api.BalancerSettings;
import java.util.concurrent.TimeUnit;

/**
 * The time limits of calls to discovery. They follow from how soon the proxy must apply an endpoint change. A change at
 * a service must be applied within 6 s from when discovery has it and can be reached, and within 3 s after the end of
 * the hold of a call that missed it. A change at a local agent must be applied within 1 s from when the agent has it
 * and can be reached.
 *
 * @param firstTimeoutMs timeout of the first call of the process, in milliseconds, counted from the end of its hold
 * @param timeoutMs timeout of each later call, in milliseconds, counted from the end of its hold
 * @param holdMs the longest time for which discovery may hold a call of a watch, in milliseconds, before jitter
 */
record CallTiming(long firstTimeoutMs, long timeoutMs, long holdMs) {
    /**
     * Timeout of a call to a service, in milliseconds, counted from the end of its hold. A change that the call missed
     * must be applied within 3 s after its hold; this leaves time for one more failing call.
     */
    private static final long SERVICE_CALL_TIMEOUT_MS =
            TimeUnit.MICROSECONDS.toMillis(DiscoveryBackoff.CALL_TIMEOUT_US);
    /**
     * Timeout of a call to a local agent, in milliseconds, counted from the end of its hold. An agent responds at once,
     * and its changes must be applied within 1 s after it can be reached again. Two failing calls, each followed by a
     * delay of {@link #AGENT_RETRY_DELAY_MS}, take just as long.
     */
    private static final long AGENT_CALL_TIMEOUT_MS = 450;
    /** Delay between a failed call to a local agent and the next call, in milliseconds. */
    static final long AGENT_RETRY_DELAY_MS = 50;

    /**
     * Timeout of the first call of a process to a service, in milliseconds. It is longer than
     * {@link #SERVICE_CALL_TIMEOUT_MS}, because the process still has to load the code for the call.
     */
    static final long FIRST_SERVICE_CALL_TIMEOUT_MS = 2_000;
    /**
     * Timeout of the first call of a process to a local agent, in milliseconds. It is longer than
     * {@link #AGENT_CALL_TIMEOUT_MS}, because the process still has to load the code for the call.
     */
    private static final long FIRST_AGENT_CALL_TIMEOUT_MS = 600;

    /** The longest hold that discovery accepts, in milliseconds. */
    private static final long MAX_HOLD_MS = 60_000;
    /**
     * The hold for a local agent, and the shortest one for a service, in milliseconds. The poll interval of the
     * settings may shorten it further.
     */
    private static final long MIN_HOLD_MS = 1_500;
    /**
     * Hold of a call to a service, per proxy of the fleet, in milliseconds. All proxies share the service, and each
     * empty response costs it work: the hold grows with the number of proxies, so that the load on the service does
     * not.
     */
    private static final long HOLD_PER_PROXY_MS = 500;

    /** Returns the time limits for a service that all proxies share, or for an agent on the proxy's own machine. */
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
     * Limits a hold to twice the poll interval. If discovery becomes unreachable during a held call, the proxy can't
     * tell that from a lack of updates, and receives none until the timeout of the call.
     */
    private static long holdMs(BalancerSettings settings, long preferredMs) {
        long twicePollIntervalMs = 2 * settings.safetyLimits().pollIntervalUs() / 1_000;
        return Math.min(Math.min(MAX_HOLD_MS, preferredMs), twicePollIntervalMs);
    }
}
