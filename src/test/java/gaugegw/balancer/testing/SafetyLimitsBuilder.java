package gaugegw.balancer.testing;

import gaugegw.balancer.api.SafetyLimits;

/** Builds safety limits from these defaults: slow start from 40% over 8 s, overload at four times for 1 s. */
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
