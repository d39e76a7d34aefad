package gaugegw.balancer.testing;

import gaugegw.balancer.api.SafetyLimits;

/**
 * Builds safety limits. By default, an endpoint starts with 40% of its capacity, has all of it after 8 s, and until
 * then fails if it receives more than four times its current capacity within 1 s.
 */
public final class SafetyLimitsBuilder {
    private double initialCapacityFraction = 0.4;
    private long slowStartUs = 8 * TestSettings.SECONDS;
    private double overloadMultiple = 4;
    private long overloadWindowUs = TestSettings.SECONDS;
    private long pollIntervalUs = 10 * TestSettings.SECONDS;
    private boolean rejectedMayHaveExecuted;

    SafetyLimitsBuilder() {}

    public SafetyLimitsBuilder initialCapacityFraction(double value) {
        initialCapacityFraction = value;
        return this;
    }

    public SafetyLimitsBuilder slowStartUs(long value) {
        slowStartUs = value;
        return this;
    }

    public SafetyLimitsBuilder overloadMultiple(double value) {
        overloadMultiple = value;
        return this;
    }

    public SafetyLimitsBuilder overloadWindowUs(long value) {
        overloadWindowUs = value;
        return this;
    }

    public SafetyLimitsBuilder pollIntervalUs(long value) {
        pollIntervalUs = value;
        return this;
    }

    public SafetyLimitsBuilder rejectedMayHaveExecuted(boolean value) {
        rejectedMayHaveExecuted = value;
        return this;
    }

    public SafetyLimits build() {
        return new SafetyLimits(
                initialCapacityFraction,
                slowStartUs,
                overloadMultiple,
                overloadWindowUs,
                pollIntervalUs,
                rejectedMayHaveExecuted);
    }
}
