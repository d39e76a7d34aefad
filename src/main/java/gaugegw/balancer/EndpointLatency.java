package gaugegw.balancer;

/**
 * The expected latency of an endpoint: a weighted mean of the average over all endpoints of its kind and of the
 * endpoint's own samples.
 */
final class EndpointLatency {
    /** Shared by all endpoints of the same kind. */
    private LatencyAverage kindAverage;

    private double ownSumUs;
    private double ownSamples;

    /** Returns the average over all endpoints of the same kind. */
    LatencyAverage kindAverage() {
        return kindAverage;
    }

    /** Sets the average of the kind in the list entry. Called before any other method, and with each new list entry. */
    void setKindAverage(LatencyAverage kindAverage) {
        this.kindAverage = kindAverage;
    }

    /** Adds a latency sample, in microseconds, for the endpoint and for its kind. */
    void record(double latencyUs) {
        kindAverage.record(latencyUs);
        ownSumUs += latencyUs;
        ownSamples++;
    }

    /** Returns the expected latency in microseconds; undefined while the kind has no samples. */
    double expectedUs() {
        double priorSamples = ControlParameters.KIND_PRIOR_SAMPLES;
        return (priorSamples * kindAverage.meanUs() + ownSumUs) / (priorSamples + ownSamples);
    }

    /** Reduces the influence of the endpoint's own samples; called at each refresh of the weights. */
    void decayOwnSamples() {
        ownSumUs *= ControlParameters.REFRESH_DECAY_FACTOR;
        ownSamples *= ControlParameters.REFRESH_DECAY_FACTOR;
    }
}
