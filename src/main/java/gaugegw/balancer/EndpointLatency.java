package gaugegw.balancer;

/**
 * The expected latency of an endpoint. It is the mean of the endpoint's own samples and of {@link
 * ControlParameters#KIND_PRIOR_SAMPLES} assumed samples, each equal to the average over all endpoints of its kind. The
 * more samples the endpoint has, the less the average of its kind matters.
 */
final class EndpointLatency {
    /** Shared by all endpoints of the same kind. */
    private LatencyAverage kindAverage;

    /** Sum of the endpoint's own samples, in microseconds; decayed, see {@link #decayOwnSamples}. */
    private double ownSumUs;
    /** Number of the endpoint's own samples; fractional, because it is decayed together with the sum. */
    private double ownSamples;

    /** Returns the average over all endpoints of the same kind. */
    LatencyAverage kindAverage() {
        return kindAverage;
    }

    /** Sets the average of the endpoint's kind. Called before any other method, and again with each new list entry. */
    void setKindAverage(LatencyAverage kindAverage) {
        this.kindAverage = kindAverage;
    }

    /** Adds a latency sample, in microseconds, for the endpoint and for its kind. */
    void record(double latencyUs) {
        kindAverage.record(latencyUs);
        ownSumUs += latencyUs;
        ownSamples++;
    }

    /** Returns the expected latency in microseconds. It is meaningful only once the kind has samples. */
    double expectedUs() {
        double priorSamples = ControlParameters.KIND_PRIOR_SAMPLES;
        return (priorSamples * kindAverage.meanUs() + ownSumUs) / (priorSamples + ownSamples);
    }

    /** Reduces the influence of the endpoint's earlier samples; called at each refresh of the weights. */
    void decayOwnSamples() {
        ownSumUs *= ControlParameters.REFRESH_DECAY_FACTOR;
        ownSamples *= ControlParameters.REFRESH_DECAY_FACTOR;
    }
}
