package gaugegw.balancer.testing;

import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.Limits;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;

/** Settings that most tests share. Each builder starts from them, so that a test names only what it changes. */
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

    /** Deduplicated by the endpoints of a zone for 1.2 s; the class of the highest priority weight. */
    public static final RequestClass PAY = requestClass("pay")
            .latencyObjectiveUs(400 * MILLIS)
            .deadlineUs(2 * SECONDS)
            .priorityWeight(10)
            .deduplicated(DeduplicationScope.ZONE, 1200 * MILLIS)
            .build();

    /** Deduplicated by the endpoints of a cell for 12 s. */
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

    /** Not idempotent: may be sent again only if no attempt can have executed. */
    public static final RequestClass VOTE = requestClass("vote")
            .latencyObjectiveUs(600 * MILLIS)
            .deadlineUs(2 * SECONDS)
            .priorityWeight(3)
            .idempotency(Idempotency.NOT_IDEMPOTENT)
            .build();

    /** Without Retry-After, so that equal rejections are equal actions. */
    public static final Limits LIMITS = limits().build();

    public static final SafetyLimits SAFETY_LIMITS = safetyLimits().build();

    private TestSettings() {}

    /** Starts from one proxy in zone "a" with all the request classes above. */
    public static BalancerSettingsBuilder settings() {
        return new BalancerSettingsBuilder();
    }

    /** Starts from one proxy in zone "a" with {@link #READ} as its only class, and events 1 ms apart at least. */
    public static BalancerSettingsBuilder minimalSettings() {
        return settings()
                .minEventIntervalUs(MILLIS)
                .requestClasses(READ)
                .overQuotaWeightFraction(1)
                .seed(1);
    }

    /** Starts from what {@link #LIMITS} holds. */
    public static LimitsBuilder limits() {
        return new LimitsBuilder();
    }

    /** Starts from what {@link #SAFETY_LIMITS} holds. */
    public static SafetyLimitsBuilder safetyLimits() {
        return new SafetyLimitsBuilder();
    }

    /** Starts from an idempotent class of priority weight 1 whose late answers earn nothing. */
    public static RequestClassBuilder requestClass(String name) {
        return new RequestClassBuilder(name);
    }
}
