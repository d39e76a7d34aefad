package gaugegw.balancer.testing;

import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.Limits;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;

/** Settings that most tests share. Each builder starts from them, so that a test states only what it changes. */
public final class TestSettings {
    /** One millisecond, in microseconds. */
    public static final long MILLIS = 1_000;

    /** One second, in microseconds. */
    public static final long SECONDS = 1_000_000;

    /** Idempotent: may be retried and rejected without restriction. */
    public static final RequestClass READ = requestClass("read")
            .latencyObjectiveUs(600 * MILLIS)
            .deadlineUs(2 * SECONDS)
            .priorityWeight(1)
            .build();

    /** Deduplicated within a zone for 1.2 s. Of these classes, it has the highest priority weight. */
    public static final RequestClass PAY = requestClass("pay")
            .latencyObjectiveUs(400 * MILLIS)
            .deadlineUs(2 * SECONDS)
            .priorityWeight(10)
            .deduplicated(DeduplicationScope.ZONE, 1200 * MILLIS)
            .build();

    /** Deduplicated within a cell for 12 s. */
    public static final RequestClass BOOK = requestClass("book")
            .latencyObjectiveUs(600 * MILLIS)
            .deadlineUs(2 * SECONDS)
            .priorityWeight(2)
            .deduplicated(DeduplicationScope.CELL, 12 * SECONDS)
            .build();

    /** Deduplicated by all endpoints for 12 s. */
    public static final RequestClass NOTE = requestClass("note")
            .latencyObjectiveUs(600 * MILLIS)
            .deadlineUs(2 * SECONDS)
            .priorityWeight(2)
            .deduplicated(DeduplicationScope.ALL, 12 * SECONDS)
            .build();

    /** Not idempotent: may be retried only if no attempt can have executed it. */
    public static final RequestClass VOTE = requestClass("vote")
            .latencyObjectiveUs(600 * MILLIS)
            .deadlineUs(2 * SECONDS)
            .priorityWeight(3)
            .idempotency(Idempotency.NOT_IDEMPOTENT)
            .build();

    /** Without Retry-After, so that a test can name the rejection that it expects. */
    public static final Limits LIMITS = limits().build();

    public static final SafetyLimits SAFETY_LIMITS = safetyLimits().build();

    private TestSettings() {}

    /** Returns a builder that starts from one proxy in zone "a" with all the request classes above. */
    public static BalancerSettingsBuilder settings() {
        return new BalancerSettingsBuilder();
    }

    /**
     * Returns a builder that starts from one proxy in zone "a", with {@link #READ} as its only class, and at least 1 ms
     * between two rounds of events.
     */
    public static BalancerSettingsBuilder minimalSettings() {
        return settings()
                .minEventIntervalUs(MILLIS)
                .requestClasses(READ)
                .overQuotaWeightFraction(1)
                .seed(1);
    }

    /** Returns a builder that starts from {@link #LIMITS}. */
    public static LimitsBuilder limits() {
        return new LimitsBuilder();
    }

    /** Returns a builder that starts from {@link #SAFETY_LIMITS}. */
    public static SafetyLimitsBuilder safetyLimits() {
        return new SafetyLimitsBuilder();
    }

    /**
     * Returns a builder that starts from an idempotent class of priority weight 1 whose late answers are worth nothing.
     */
    public static RequestClassBuilder requestClass(String name) {
        return new RequestClassBuilder(name);
    }
}
