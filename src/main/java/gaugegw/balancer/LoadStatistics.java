package gaugegw.balancer;

/**
 * Statistics of successful responses: their rate and mean latency and, sampled once per refresh period, the unloaded
 * latency and the throughput per endpoint.
 *
 * <p>Sampling has a timer of its own. The refresh timer of {@link EndpointWeights} restarts at each change of the
 * endpoint list, so with that timer no sample would be taken during a rolling restart.
 */
final class LoadStatistics {
    private final long samplingPeriodUs;
    private final LatencyAverage latency = new LatencyAverage();
    /** Responses per microsecond, as of {@link #rateUpdatedAtUs}. */
    private double responsesPerUs;

    private long rateUpdatedAtUs;
    private long sampleDueAtUs;
    private int sampleCount;
    private double unloadedLatencyUs;
    private double endpointThroughputPerUs;

    LoadStatistics(ControlParameters parameters) {
        samplingPeriodUs = parameters.refreshPeriodUs();
    }

    /** Schedules the first sample one refresh period from now. */
    void start(long nowUs) {
        sampleDueAtUs = nowUs + samplingPeriodUs;
    }

    /**
     * Records a successful response.
     *
     * @param latencyUs its latency in microseconds
     */
    void recordResponse(long latencyUs, long nowUs) {
        latency.record(latencyUs);
        responsesPerUs = responsesPerUs(nowUs) + 1.0 / samplingPeriodUs;
        rateUpdatedAtUs = nowUs;
    }

    /** Samples the unloaded latency and the throughput per endpoint if a refresh period has passed. */
    void sampleIfDue(int endpointCount, long nowUs) {
        if (nowUs < sampleDueAtUs) {
            return;
        }
        sampleDueAtUs = nowUs + samplingPeriodUs;
        sampleCount++;
        // The minimum of the sampled means, because under load the mean includes queueing time.
        double meanUs = hasReliableLatency() ? latency.meanUs() : 0;
        unloadedLatencyUs = unloadedLatencyUs == 0 ? meanUs : Math.min(unloadedLatencyUs, meanUs);
        // The throughput is smoothed: when endpoints leave the list, the response rate still includes their responses,
        // so a single sample would overstate the throughput of the remaining endpoints.
        double throughputPerUs = responsesPerUs(nowUs) / Math.max(1, endpointCount);
        endpointThroughputPerUs += (throughputPerUs - endpointThroughputPerUs)
                * Math.max(1.0 / sampleCount, 1 - ControlParameters.REFRESH_DECAY_FACTOR);
    }

    /** Returns whether there are enough samples for a reliable mean latency. */
    boolean hasReliableLatency() {
        return latency.sampleCount() >= ControlParameters.MIN_RELIABLE_SAMPLES;
    }

    /** Returns the mean latency of successful responses in microseconds, or 0 if there were none. */
    double meanLatencyUs() {
        return latency.meanUs();
    }

    /**
     * Returns the rate of successful responses from all endpoints, per microsecond. The rate is an exponential moving
     * average with the refresh period as its time constant.
     */
    double responsesPerUs(long nowUs) {
        return responsesPerUs * Math.exp((rateUpdatedAtUs - nowUs) / (double) samplingPeriodUs);
    }

    /** Returns the lowest mean latency sampled so far, in microseconds, or 0 before there is a reliable one. */
    double unloadedLatencyUs() {
        return unloadedLatencyUs;
    }

    /** Returns the mean rate of successful responses from one endpoint to this proxy, per microsecond. */
    double endpointThroughputPerUs() {
        return endpointThroughputPerUs;
    }
}
