package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.RequestClass;
import java.util.HashMap;
import java.util.Map;

/**
 * Determines the priority weight of a request, its latency objective and its deadline. The weight is that of its class.
 * It is reduced by one factor if the tenant is over its quota, and by another if the objective has already passed,
 * because a late answer is worth less.
 */
final class RequestPriority {
    private final BalancerSettings settings;
    private final RequestFlows flows;
    private final TenantQuotas quotas;
    /** The shortest timeout so far of a request that is not marked as a retry, by class name. */
    private final Map<String, Long> minFirstTimeoutUs = new HashMap<>();

    RequestPriority(BalancerSettings settings, RequestFlows flows, TenantQuotas quotas) {
        this.settings = settings;
        this.flows = flows;
        this.quotas = quotas;
    }

    /** Creates the pending request for a request that arrives now. */
    PendingRequest prioritize(RequestArrived arrival, RequestClass requestClass, long nowUs) {
        boolean overQuota = quotas.isOverQuota(arrival.tenant(), arrival.retry(), nowUs);
        long objectiveAtUs = clientStartedAtUs(arrival, requestClass, nowUs) + requestClass.latencyObjectiveUs();
        long deadlineAtUs = nowUs + arrival.timeoutUs();
        double quotaFactor = overQuota ? settings.overQuotaWeightFraction() : 1;
        double lateFactor = nowUs < objectiveAtUs ? 1 : requestClass.lateWeightFraction();
        boolean lateAnswersCount = requestClass.lateWeightFraction() > 0;
        return new PendingRequest(
                arrival.requestId(),
                requestClass,
                flows.flow(requestClass, quotas.tenantIndex(arrival.tenant())),
                settings.cacheAffinity() ? arrival.affinityKey() : null,
                quotaFactor * (requestClass.priorityWeight() * lateFactor),
                lateAnswersCount ? deadlineAtUs : Math.min(deadlineAtUs, objectiveAtUs),
                deadlineAtUs);
    }

    /**
     * Returns when the client first sent this request. A request with a shorter timeout than the first requests of its
     * class is a retry, whether or not the client marks it as one. The client then first sent it one class deadline
     * before the end of its timeout.
     */
    private long clientStartedAtUs(RequestArrived arrival, RequestClass requestClass, long nowUs) {
        long timeoutUs = arrival.timeoutUs();
        long firstTimeoutUs = arrival.retry() ? Long.MAX_VALUE : timeoutUs;
        long minTimeoutUs = minFirstTimeoutUs.merge(requestClass.name(), firstTimeoutUs, Math::min);
        return timeoutUs < minTimeoutUs ? nowUs + timeoutUs - requestClass.deadlineUs() : nowUs;
    }
}
