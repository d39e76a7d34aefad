package gaugegw.balancer;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.RequestClass;
import java.util.HashMap;
import java.util.Map;

/**
 * Sets the priority weight of a request, its objective and its deadline. The weight is that of its class, times a
 * fraction if the tenant is over quota and times another if the objective has passed already, as a late answer is of
 * less value.
 */
final class RequestPriority {
    private final BalancerSettings settings;
    private final RequestFlows flows;
    private final TenantQuotas quotas;
    /** The least time-out of a client's first attempt so far, by class. */
    private final Map<String, Long> minFirstTimeoutUs = new HashMap<>();

    RequestPriority(BalancerSettings settings, RequestFlows flows, TenantQuotas quotas) {
        this.settings = settings;
        this.flows = flows;
        this.quotas = quotas;
    }

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
                flows.flow(requestClass, quotas.number(arrival.tenant())),
                settings.cacheAffinity() ? arrival.affinityKey() : null,
                quotaFactor * (requestClass.priorityWeight() * lateFactor),
                lateAnswersCount ? deadlineAtUs : Math.min(deadlineAtUs, objectiveAtUs),
                deadlineAtUs);
    }

    /**
     * Returns when the client's first attempt began. A request with less time left than first attempts get is a retry,
     * whether the client marks it or not; the first attempt began one class deadline before its time runs out.
     */
    private long clientStartedAtUs(RequestArrived arrival, RequestClass requestClass, long nowUs) {
        long timeoutUs = arrival.timeoutUs();
        long firstTimeoutUs = arrival.retry() ? Long.MAX_VALUE : timeoutUs;
        long minTimeoutUs = minFirstTimeoutUs.merge(requestClass.name(), firstTimeoutUs, Math::min);
        return timeoutUs < minTimeoutUs ? nowUs + timeoutUs - requestClass.deadlineUs() : nowUs;
    }
}
