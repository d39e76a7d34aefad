package gaugegw.balancer.api;

/**
 * What the proxy may do. {@code listMustBeAsked}: the list comes only after {@link WatchEndpoints} or {@link FetchEndpoints}. An attempt
 * begins up to {@code connectTimeoutUs} after it was asked for, or not at all. {@code maxRetryAfterUs} is 0 where clients
 * are not to be told when to come back.
 */
public record Limits(
        boolean cancellation,
        boolean hedging,
        boolean healthChecks,
        boolean endpointsArePolled,
        int maxAttempts,
        long maxRetryAfterUs,
        long connectTimeoutUs) {
    public Limits {
        BalancerSettings.require(maxAttempts >= 1, "max attempts");
        BalancerSettings.require(maxRetryAfterUs >= 0, "max retry-after");
        BalancerSettings.require(connectTimeoutUs >= 0, "connect time-out");
    }
}
