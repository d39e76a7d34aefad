package gaugegw.balancer;

/**
 * A moving average of latencies: the arithmetic mean of the first {@link ControlParameters#LATENCY_WINDOW_SAMPLES}
 * samples, then an exponential moving average over as many.
 */
final class LatencyAverage {
    private double meanUs;
    private int sampleCount;

    /** Adds a sample, in microseconds. */
    void record(double latencyUs) {
        sampleCount = Math.min(sampleCount + 1, ControlParameters.LATENCY_WINDOW_SAMPLES);
        meanUs += (latencyUs - meanUs) / sampleCount;
    }

    /** Returns the average in microseconds, or 0 without samples. */
    double meanUs() {
        return meanUs;
    }

    /** Returns the number of samples, at most {@link ControlParameters#LATENCY_WINDOW_SAMPLES}. */
    int sampleCount() {
        return sampleCount;
    }
}
