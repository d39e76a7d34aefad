package gaugegw.balancer.testing;

import gaugegw.balancer.api.Limits;

/**
 * Builds limits. By default, cancellation is permitted, a request may have four attempts, a rejection has no
 * Retry-After, and a connection is established at once.
 */
public final class LimitsBuilder {
    private boolean cancellation = true;
    private boolean hedging;
    private boolean healthChecks;
    private boolean endpointUpdatesOnRequest;
    private int maxAttempts = 4;
    private long maxRetryAfterUs;
    private long connectTimeoutUs;

    LimitsBuilder() {}

    public LimitsBuilder cancellation(boolean value) {
        cancellation = value;
        return this;
    }

    public LimitsBuilder hedging(boolean value) {
        hedging = value;
        return this;
    }

    public LimitsBuilder healthChecks(boolean value) {
        healthChecks = value;
        return this;
    }

    public LimitsBuilder endpointUpdatesOnRequest(boolean value) {
        endpointUpdatesOnRequest = value;
        return this;
    }

    public LimitsBuilder maxAttempts(int value) {
        maxAttempts = value;
        return this;
    }

    public LimitsBuilder maxRetryAfterUs(long value) {
        maxRetryAfterUs = value;
        return this;
    }

    public LimitsBuilder connectTimeoutUs(long value) {
        connectTimeoutUs = value;
        return this;
    }

    public Limits build() {
        return new Limits(
                cancellation,
                hedging,
                healthChecks,
                endpointUpdatesOnRequest,
                maxAttempts,
                maxRetryAfterUs,
                connectTimeoutUs);
    }
}
