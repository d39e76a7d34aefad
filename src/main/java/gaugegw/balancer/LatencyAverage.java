package gaugegw.balancer;

/** A decaying average of latencies: the mean until its memory is full, then an exponential average. */
final class LatencyAverage {
    /** Samples remembered: so many that the weights derived from the average drift slowly. */
    static final int MEMORY_SAMPLES = 1024;

    private double meanUs;
    private int samples;

    /** Adds a sample, in microseconds. */
    void record(double latencyUs) {
        samples = Math.min(samples + 1, MEMORY_SAMPLES);
        meanUs += (latencyUs - meanUs) / samples;
    }

    /** Returns the average in microseconds, 0 without samples. */
    double meanUs() {
        return meanUs;
    }

    /** Returns the number of samples, at most {@link #MEMORY_SAMPLES}. */
    int samples() {
        return samples;
    }
}
