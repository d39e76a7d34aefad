package gaugegw.balancer.testing;

import gaugegw.balancer.api.Limits;

/** Builds limits from these defaults: cancellation allowed, four attempts, no Retry-After, connections at once. */
public final class LimitsBuilder {
    private boolean cancellation = true;
    private boolean hedging;
    private boolean healthChecks;
    private boolean endpointsArePolled;
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

    public LimitsBuilder endpointsArePolled(boolean value) {
        endpointsArePolled = value;
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
                endpointsArePolled,
                maxAttempts,
                maxRetryAfterUs,
                connectTimeoutUs);
    }
}
