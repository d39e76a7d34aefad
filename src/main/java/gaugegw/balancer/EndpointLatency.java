package gaugegw.balancer;

/** The expected latency of an endpoint: the average of its kind, corrected by the endpoint's own samples. */
final class EndpointLatency {
    /** Shared by all endpoints of the kind. */
    private LatencyAverage kind;

    private double ownSumUs;
    private double ownSamples;

    LatencyAverage kind() {
        return kind;
    }

    /** Sets the average of the kind that the endpoint list names; before the first use, and with each list entry. */
    void setKind(LatencyAverage kind) {
        this.kind = kind;
    }

    /** Adds a sample, in microseconds, to the endpoint's own and to those of its kind. */
    void record(double latencyUs) {
        kind.record(latencyUs);
        ownSumUs += latencyUs;
        ownSamples++;
    }

    /** Returns the expected latency in microseconds; means nothing while the kind has no samples. */
    double expectedUs() {
        double prior = ControlParameters.KIND_PRIOR_SAMPLES;
        return (prior * kind.meanUs() + ownSumUs) / (prior + ownSamples);
    }

    /** Reduces the influence of the endpoint's own samples, once a refresh of the weights. */
    void decayOwnSamples() {
        ownSumUs *= ControlParameters.REFRESH_DECAY_FACTOR;
        ownSamples *= ControlParameters.REFRESH_DECAY_FACTOR;
    }
}
