package gaugegw.simulator.workload;

/**
 * Parameters of one generated workload.
 *
 * @param proxyCount number of proxies that share the backends; the workload simulates only some of them
 * @param pushed whether discovery pushes endpoint lists, or proxies have to poll or watch for them
 * @param variant 1 to 3; selects among the remaining settings and the scripted faults
 */
public record WorkloadScenario(int proxyCount, boolean pushed, int variant) {
    private static final long DEFAULT_BATCH_INTERVAL_US = 5_000;

    /** Returns the name under which the digest of this scenario is recorded. */
    public String name() {
        return proxyCount + "-" + (pushed ? "pushed" : "on_request") + "-" + variant;
    }

    long seed() {
        return 1_000_003L * proxyCount + 101L * variant + (pushed ? 1 : 0);
    }

    /** Returns the length in microseconds: longer where a backend fails until it has had the longest backoffs. */
    long durationUs() {
        return variant == 2 ? 100_000_000 : 66_000_000;
    }

    /** Returns the least time between two batches. */
    long batchIntervalUs() {
        return hasSparseBatches() ? 80_000 : DEFAULT_BATCH_INTERVAL_US;
    }

    boolean hasSparseBatches() {
        return variant == 3 && !pushed;
    }

    /** Returns whether batches lie on a grid of times, so that events of equal duration end at the same moment. */
    boolean alignsBatches() {
        return variant != 2;
    }

    /** Returns the idempotency window: where it is short, some retries would begin too late. */
    long idempotencyWindowUs() {
        return variant == 2 ? 1_500_000 : 400_000;
    }

    /** Returns the least number of backends at the start. */
    int minBackends() {
        return switch (proxyCount) {
            case 1, 3 -> 5;
            case 30 -> 12;
            default -> 40;
        };
    }

    /** Returns the mean time between arrivals at load 1: few of the requests to a large tier reach these proxies. */
    long meanArrivalIntervalUs() {
        return switch (proxyCount) {
            case 1 -> 75_000;
            case 3 -> 110_000;
            case 30 -> 120_000;
            default -> 150_000;
        };
    }

    /** Returns the indexes in the tier of the proxies that the workload simulates. */
    int[] simulatedProxyIndexes() {
        return switch (proxyCount) {
            case 1 -> new int[] {0};
            case 3 -> new int[] {0, 1, 2};
            case 30 -> variant == 2 ? new int[] {11} : new int[] {4, 29};
            default -> new int[] {0, proxyCount / 3, proxyCount - 1};
        };
    }

    boolean hasTenants() {
        return variant != 2;
    }

    boolean clientsMarkRetries() {
        return variant != 3;
    }

    boolean streamsResponses() {
        return variant % 2 == 0;
    }
}
