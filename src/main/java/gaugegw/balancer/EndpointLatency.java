package gaugegw.balancer;

/** The expected latency of an endpoint: the average of its kind, corrected by the endpoint's own samples. */
final class EndpointLatency {
    /** The average of the kind counts as this many of the endpoint's own samples. */
    private static final double KIND_PRIOR_SAMPLES = 4;
    /** Part of the endpoint's own samples that a refresh of the weights keeps. */
    private static final double OWN_SAMPLES_KEPT = 0.8;

    /** Shared by all endpoints of the kind. */
    LatencyAverage kind;

    private double ownSumUs;
    private double ownSamples;

    /** Adds a sample, in microseconds, to the endpoint's own and to those of its kind. */
    void record(double latencyUs) {
        kind.record(latencyUs);
        ownSumUs += latencyUs;
        ownSamples++;
    }

    /** Returns the expected latency in microseconds; means nothing while the kind has no samples. */
    double expectedUs() {
        return (KIND_PRIOR_SAMPLES * kind.meanUs() + ownSumUs) / (KIND_PRIOR_SAMPLES + ownSamples);
    }

    /** Reduces the influence of the endpoint's own samples, once a refresh of the weights. */
    void decayOwnSamples() {
        ownSumUs *= OWN_SAMPLES_KEPT;
        ownSamples *= OWN_SAMPLES_KEPT;
    }
}
