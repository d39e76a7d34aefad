package beechfall;

/**
 * What the proxy may do. {@code listMustBeAsked}: the list comes only after {@link Watch} or {@link Fetch}. An attempt
 * begins up to {@code connectTimeoutUs} after it was asked for, or not at all. {@code maxRetryAfterUs} is 0 where clients
 * are not to be told when to come back.
 */
public record Limits(
        boolean cancel,
        boolean secondCopies,
        boolean probes,
        boolean listMustBeAsked,
        int maxAttempts,
        long maxRetryAfterUs,
        long connectTimeoutUs) {
    public Limits {
        Settings.require(maxAttempts >= 1, "max attempts");
        Settings.require(maxRetryAfterUs >= 0, "max retry-after");
        Settings.require(connectTimeoutUs >= 0, "connect time-out");
    }
}
