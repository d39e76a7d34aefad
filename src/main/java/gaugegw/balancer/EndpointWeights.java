package gaugegw.balancer;

import java.util.List;

/**
 * Sets the weights of the ready endpoints in proportion to their speed, the reciprocal of their expected latency, so
 * that faster endpoints get more attempts. The weights add up to 1.
 *
 * <p>The weights stay fixed for one refresh period, or until the endpoint list changes. Each refresh resets the virtual
 * times to zero, because virtual times that advanced under different weights cannot be compared.
 */
final class EndpointWeights {
    /**
     * Least speed of an endpoint, as a fraction of the highest. With less weight, a slow endpoint would get too few
     * attempts to show that it has recovered.
     */
    private static final double MIN_RELATIVE_SPEED = 0.05;

    private final EndpointMembership membership;
    private final long refreshPeriodUs;
    private long refreshDueAtUs = Long.MIN_VALUE;

    EndpointWeights(EndpointMembership membership, ControlParameters parameters) {
        this.membership = membership;
        this.refreshPeriodUs = parameters.refreshPeriodUs();
    }

    /** Refreshes the weights if a refresh period has passed since the last refresh. */
    void refreshIfDue(long nowUs) {
        if (nowUs >= refreshDueAtUs) {
            refresh(nowUs);
        }
    }

    /** Sets the weights and sorts the endpoints; also called whenever the endpoint list has changed. */
    void refresh(long nowUs) {
        refreshDueAtUs = nowUs + refreshPeriodUs;
        List<EndpointRecord> endpoints = membership.readyEndpoints();
        double scale = listWeightScale(endpoints);
        endpoints.forEach(e -> e.setWeight(
                e.latency().kindAverage().sampleCount() > 0
                        ? 1 / e.latency().expectedUs()
                        : e.listEntry().weight() * scale));
        double minSpeed = MIN_RELATIVE_SPEED
                * endpoints.stream().mapToDouble(EndpointRecord::weight).max().orElse(1);
        double sum = endpoints.stream()
                .mapToDouble(e -> Math.max(e.weight(), minSpeed))
                .sum();
        for (EndpointRecord endpoint : endpoints) {
            endpoint.setWeight(Math.max(endpoint.weight(), minSpeed) / sum);
            endpoint.resetVirtualTime();
            endpoint.latency().decayOwnSamples();
        }
        membership.sort();
    }

    /**
     * Returns the factor that converts the weight in a list entry to a speed, in 1 / microsecond. Endpoints of a kind
     * without latency samples get their speed from the list entry. The factor is the mean, over the endpoints of all
     * other kinds, of 1 / (mean latency of the kind * weight in the list entry).
     */
    private static double listWeightScale(List<EndpointRecord> endpoints) {
        return endpoints.stream()
                .filter(e -> e.latency().kindAverage().sampleCount() > 0)
                .mapToDouble(e ->
                        1 / (e.latency().kindAverage().meanUs() * e.listEntry().weight()))
                .average()
                .orElse(1);
    }
}
