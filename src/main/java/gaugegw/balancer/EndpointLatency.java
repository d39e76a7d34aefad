package gaugegw.balancer;

/**
 * The expected latency of one endpoint: the average of its kind, shared with all endpoints of that kind, corrected by
 * the endpoint's own samples. A few own samples move the estimate little; their influence decays at each refresh.
 */
final class EndpointLatency {
    /** The average of the kind has the weight of this many samples of the endpoint itself. */
    private static final double KIND_PRIOR_SAMPLES = 4;
    /** Part of the endpoint's own samples that a refresh of the weights keeps. */
    static final double OWN_SAMPLES_KEPT = 0.8;
    /** An endpoint is slow for its kind from this multiple of the kind's average on. */
    private static final double SLOW_FOR_KIND_MULTIPLE = 4;

    private LatencyAverage kind;
    private double ownSumUs;
    private double ownSamples;

    EndpointLatency(LatencyAverage kind) {
        this.kind = kind;
    }

    /** Replaces the kind's average where the endpoint list names another kind. The endpoint's own samples stay. */
    void setKind(LatencyAverage kind) {
        this.kind = kind;
    }

    LatencyAverage kind() {
        return kind;
    }

    /** Adds one sample, in microseconds, to the endpoint's own and to those of its kind. */
    void record(double latencyUs) {
        kind.record(latencyUs);
        ownSumUs += latencyUs;
        ownSamples++;
    }

    /** Returns the expected latency in microseconds; means nothing before the kind has samples. */
    double expectedUs() {
        return (KIND_PRIOR_SAMPLES * kind.meanUs() + ownSumUs) / (KIND_PRIOR_SAMPLES + ownSamples);
    }

    /** Returns whether the endpoint's own answers show it to be far slower than its kind. */
    boolean isSlowForKind() {
        return kind.hasSamples() && !(expectedUs() < SLOW_FOR_KIND_MULTIPLE * kind.meanUs());
    }

    /** Reduces the influence of the endpoint's own samples; called once a refresh of the weights. */
    void decayOwnSamples() {
        ownSumUs *= OWN_SAMPLES_KEPT;
        ownSamples *= OWN_SAMPLES_KEPT;
    }
}
