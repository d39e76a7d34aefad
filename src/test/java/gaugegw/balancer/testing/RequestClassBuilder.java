package gaugegw.balancer.testing;

import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.RequestClass;

/**
 * Builds a request class. By default, it is idempotent, has the priority weight 1, and a late answer is worth nothing.
 */
public final class RequestClassBuilder {
    private final String name;
    private long latencyObjectiveUs = 600 * TestSettings.MILLIS;
    private long deadlineUs = 2 * TestSettings.SECONDS;
    private double priorityWeight = 1;
    private double lateWeightFraction;
    private Idempotency idempotency = Idempotency.IDEMPOTENT;
    private DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    private long deduplicationWindowUs;

    RequestClassBuilder(String name) {
        this.name = name;
    }

    public RequestClassBuilder latencyObjectiveUs(long value) {
        latencyObjectiveUs = value;
        return this;
    }

    public RequestClassBuilder deadlineUs(long value) {
        deadlineUs = value;
        return this;
    }

    public RequestClassBuilder priorityWeight(double value) {
        priorityWeight = value;
        return this;
    }

    public RequestClassBuilder lateWeightFraction(double value) {
        lateWeightFraction = value;
        return this;
    }

    public RequestClassBuilder idempotency(Idempotency value) {
        idempotency = value;
        return this;
    }

    /** Makes the class idempotent with an idempotency key. */
    public RequestClassBuilder deduplicated(DeduplicationScope scope, long windowUs) {
        return idempotency(Idempotency.IDEMPOTENT_WITH_KEY).deduplicationWindow(scope, windowUs);
    }

    /** Sets only the scope and the window. They have no effect unless the class is idempotent with a key. */
    public RequestClassBuilder deduplicationWindow(DeduplicationScope scope, long windowUs) {
        deduplicationScope = scope;
        deduplicationWindowUs = windowUs;
        return this;
    }

    public RequestClass build() {
        return new RequestClass(
                name,
                latencyObjectiveUs,
                deadlineUs,
                priorityWeight,
                lateWeightFraction,
                idempotency,
                deduplicationScope,
                deduplicationWindowUs);
    }
}
