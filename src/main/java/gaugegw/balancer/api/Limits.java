package gaugegw.balancer.api;

/**
 * What the proxy is permitted to do.
 *
 * @param cancellation whether {@link Action.CancelAttempt} is permitted
 * @param hedging whether a request may have two attempts in flight at the same time
 * @param healthChecks whether {@link Action.CheckHealth} is permitted
 * @param endpointUpdatesOnRequest whether updates of the endpoint list arrive only after {@link Action.WatchEndpoints}
 *     or {@link Action.FetchEndpoints}
 * @param maxAttempts the maximum number of attempts of one request
 * @param maxRetryAfterUs the longest {@link Action.Reject#retryAfterUs}, in microseconds; 0 if a rejection must not
 *     carry one
 * @param connectTimeoutUs the longest time until a new connection is established, in microseconds; an attempt reaches
 *     its endpoint no later than this after its start
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
     * @throws IllegalArgumentException if a component is out of range; the message names the setting as deployments
     *     write it
     */
    public Limits {
        BalancerSettings.require(
                maxAttempts >= 1, "setting 'bounds.most_tries': " + maxAttempts + ", must be at least 1");
        BalancerSettings.require(
                maxRetryAfterUs >= 0,
                "setting 'bounds.max_retry_after_us': " + maxRetryAfterUs + ", must be at least 0");
        BalancerSettings.require(
                connectTimeoutUs >= 0,
                "setting 'bounds.connect_timeout_us': " + connectTimeoutUs + ", must be at least 0");
    }
}
