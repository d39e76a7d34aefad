package gaugegw.balancer;

/**
 * The rate and latency of successful answers and, sampled once in a refresh period, the unloaded latency and throughput
 * of an endpoint. The period is not that of the weights, which starts afresh at each change of the endpoint list:
 * during a rolling restart nothing would be sampled.
 */
final class LoadStatistics {
    private final long periodUs;
    private final LatencyAverage latency = new LatencyAverage();
    private double responsesPerUs;
    private long respondedAtUs;
    private long sampleDueAtUs;
    private int samples;
    private double unloadedLatencyUs;
    private double endpointThroughputPerUs;

    LoadStatistics(ControlParameters parameters) {
        periodUs = parameters.refreshPeriodUs();
    }

    /** Sets the first sample to be due one refresh period from now. */
    void start(long nowUs) {
        sampleDueAtUs = nowUs + periodUs;
    }

    /**
     * Takes a successful answer.
     *
     * @param latencyUs its latency in microseconds
     */
    void recordResponse(long latencyUs, long nowUs) {
        latency.record(latencyUs);
        responsesPerUs = responsesPerUs(nowUs) + 1.0 / periodUs;
        respondedAtUs = nowUs;
    }

    /** Samples the unloaded latency and the throughput once in a refresh period. */
    void sampleIfDue(int endpointCount, long nowUs) {
        if (nowUs < sampleDueAtUs) {
            return;
        }
        sampleDueAtUs = nowUs + periodUs;
        samples++;
        // The least of the means, as a mean under load includes time in queues.
        double meanUs = hasReliableLatency() ? latency.meanUs() : 0;
        unloadedLatencyUs = unloadedLatencyUs == 0 ? meanUs : Math.min(unloadedLatencyUs, meanUs);
        // An average, as answers of endpoints that have just left the list say nothing about those that stay.
        double throughputPerUs = responsesPerUs(nowUs) / Math.max(1, endpointCount);
        endpointThroughputPerUs += (throughputPerUs - endpointThroughputPerUs)
                * Math.max(1.0 / samples, 1 - ControlParameters.REFRESH_DECAY_FACTOR);
    }

    boolean hasReliableLatency() {
        return latency.samples() >= ControlParameters.MIN_RELIABLE_SAMPLES;
    }

    /** Returns the mean latency of successful answers in microseconds, 0 without any. */
    double meanLatencyUs() {
        return latency.meanUs();
    }

    /** Returns the answers of all endpoints per microsecond, an exponential average over the refresh period. */
    double responsesPerUs(long nowUs) {
        return responsesPerUs * Math.exp((respondedAtUs - nowUs) / (double) periodUs);
    }

    /** Returns the least mean latency so far, in microseconds; 0 before the first sample. */
    double unloadedLatencyUs() {
        return unloadedLatencyUs;
    }

    /** Returns the answers of one endpoint to this proxy per microsecond, in the mean over all listed. */
    double endpointThroughputPerUs() {
        return endpointThroughputPerUs;
    }
}
