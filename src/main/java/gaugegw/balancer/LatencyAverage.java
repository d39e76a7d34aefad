package gaugegw.balancer;

/** A decaying average of latencies: the mean until its memory is full, then an exponential average. */
final class LatencyAverage {
    private double meanUs;
    private int samples;

    /** Adds a sample, in microseconds. */
    void record(double latencyUs) {
        samples = Math.min(samples + 1, ControlParameters.LATENCY_WINDOW_SAMPLES);
        meanUs += (latencyUs - meanUs) / samples;
    }

    /** Returns the average in microseconds, 0 without samples. */
    double meanUs() {
        return meanUs;
    }

    /** Returns the number of samples, at most {@link ControlParameters#LATENCY_WINDOW_SAMPLES}. */
    int samples() {
        return samples;
    }
}
