package gaugegw.simulator.workload;

import java.util.List;
import java.util.Random;

/** The one source of randomness of a workload. The order of draws is part of the workload. */
final class WorkloadRandom {
    private final Random random;

    WorkloadRandom(long seed) {
        random = new Random(seed);
    }

    /** Returns an integer from 0 to {@code bound - 1}. */
    int below(int bound) {
        return random.nextInt(bound);
    }

    /** Returns a number from {@code min} to {@code max - 1}. */
    long between(long min, long max) {
        return min + (long) (random.nextDouble() * (max - min));
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    double fraction() {
        return random.nextDouble();
    }

    /** Returns an exponentially distributed number of mean 1. */
    double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    /** Returns a seed for a simulated proxy: 53 bits, which every reader of numbers keeps exactly. */
    long proxySeed() {
        return random.nextLong() >>> 11;
    }

    <T> T pick(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }
}
