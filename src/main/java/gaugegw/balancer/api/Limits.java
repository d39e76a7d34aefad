package gaugegw.balancer.api;

/**
 * What the proxy may do.
 *
 * @param cancellation whether {@link Action.CancelAttempt} is permitted
 * @param hedging whether a request may have two attempts in flight
 * @param healthChecks whether {@link Action.CheckHealth} is permitted
 * @param endpointUpdatesOnRequest whether endpoint updates arrive only after {@link Action.WatchEndpoints} or
 *     {@link Action.FetchEndpoints}
 * @param maxAttempts the most attempts of one request
 * @param maxRetryAfterUs the longest advice of {@link Action.Reject#retryAfterUs}, in microseconds; 0 for none at all
 * @param connectTimeoutUs an attempt begins at the endpoint so long after its start at the latest, in microseconds
 */
public record Limits(
        boolean cancellation,
        boolean hedging,
        boolean healthChecks,
        boolean endpointUpdatesOnRequest,
        int maxAttempts,
        long maxRetryAfterUs,
        long connectTimeoutUs) {
    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if one makes no sense; the message names the setting
     */
    public Limits {
        BalancerSettings.require(maxAttempts >= 1, "max attempts");
        BalancerSettings.require(maxRetryAfterUs >= 0, "max retry-after");
        BalancerSettings.require(connectTimeoutUs >= 0, "connect time-out");
    }
}
