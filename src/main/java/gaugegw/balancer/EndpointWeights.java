package gaugegw.balancer;

import java.util.List;

/**
 * Sets the weights of the ready endpoints: w = c / sum of c, with c = 1 / expected latency, so that faster endpoints
 * get more attempts. The weights hold for a refresh period or until the endpoint list changes. With each refresh the
 * deadline order starts afresh, as virtual times that grew by different weights cannot be compared.
 */
final class EndpointWeights {
    /** No endpoint's c is less than this part of the largest, or it would get too few attempts to show a recovery. */
    private static final double FLOOR = 0.05;

    private final EndpointMembership membership;
    private final long periodUs;
    private long dueAtUs = Long.MIN_VALUE;

    EndpointWeights(EndpointMembership membership, ControlParameters parameters) {
        this.membership = membership;
        this.periodUs = parameters.refreshPeriodUs();
    }

    void refreshIfDue(long nowUs) {
        if (nowUs >= dueAtUs) {
            refresh(nowUs);
        }
    }

    /** Sets the weights and puts the endpoints in order; called when the endpoint list has changed, too. */
    void refresh(long nowUs) {
        dueAtUs = nowUs + periodUs;
        List<EndpointRecord> endpoints = membership.readyEndpoints();
        double scale = listWeightScale(endpoints);
        endpoints.forEach(e -> e.setWeight(
                e.latency().kind().samples() > 0
                        ? 1 / e.latency().expectedUs()
                        : e.listEntry().weight() * scale));
        double floor = FLOOR
                * endpoints.stream().mapToDouble(EndpointRecord::weight).max().orElse(1);
        double sum =
                endpoints.stream().mapToDouble(e -> Math.max(e.weight(), floor)).sum();
        for (EndpointRecord endpoint : endpoints) {
            endpoint.setWeight(Math.max(endpoint.weight(), floor) / sum);
            endpoint.resetVirtualTime();
            endpoint.latency().decayOwnSamples();
        }
        membership.sort();
    }

    /**
     * Returns the factor from list weights to c, in 1 / microsecond: a kind without samples goes by its list weight, in
     * the scale of the kinds that have some.
     */
    private static double listWeightScale(List<EndpointRecord> endpoints) {
        return endpoints.stream()
                .filter(e -> e.latency().kind().samples() > 0)
                .mapToDouble(
                        e -> 1 / (e.latency().kind().meanUs() * e.listEntry().weight()))
                .average()
                .orElse(1);
    }
}
