package gaugegw.balancer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The requests that wait for an attempt, those of the highest priority weight first, then the earliest objective. */
final class AdmissionQueue {
    private final long giveUpBeforeObjectiveUs;
    private final long giveUpBeforeDeadlineUs;
    private final RequestFlows flows;
    private final EndpointMembership membership;
    private final List<PendingRequest> requests = new ArrayList<>();

    /** A request is given up while an attempt can be answered in time, and the final answer beats the deadline. */
    AdmissionQueue(ControlPeriods periods, long minEventIntervalUs, RequestFlows flows, EndpointMembership membership) {
        this.giveUpBeforeObjectiveUs = 2 * periods.latencyBudgetUs();
        this.giveUpBeforeDeadlineUs = 2 * minEventIntervalUs;
        this.flows = flows;
        this.membership = membership;
    }

    void add(PendingRequest request) {
        long giveUpAtUs = Math.min(
                request.objectiveAtUs() - giveUpBeforeObjectiveUs, request.deadlineAtUs() - giveUpBeforeDeadlineUs);
        EndpointRecord affinityEndpoint =
                request.affinityKey() == null ? null : affinityEndpoint(request.affinityKey());
        request.recordQueued(giveUpAtUs, flows.shareBelow(request.priorityWeight()), affinityEndpoint);
        int position = requests.size();
        while (position > 0 && outranks(request, requests.get(position - 1))) {
            position--;
        }
        requests.add(position, request);
    }

    private static boolean outranks(PendingRequest request, PendingRequest other) {
        return request.priorityWeight() > other.priorityWeight()
                || (request.priorityWeight() == other.priorityWeight()
                        && request.objectiveAtUs() < other.objectiveAtUs());
    }

    /** Returns the endpoint that likely has a key cached: all proxies find the same one, by rendezvous hashing. */
    private EndpointRecord affinityEndpoint(String key) {
        return membership.ready().stream()
                .max(Comparator.comparingInt(e -> HashMixer.mix(key.hashCode() ^ e.id().hashCode())))
                .orElse(null);
    }

    int size() {
        return requests.size();
    }

    PendingRequest get(int position) {
        return requests.get(position);
    }

    void remove(PendingRequest request) {
        requests.remove(request);
    }

    /** Returns when the first request is given up; {@link Long#MAX_VALUE} if there is none. */
    long nextGiveUpAtUs() {
        return requests.stream().mapToLong(r -> r.giveUpAtUs()).min().orElse(Long.MAX_VALUE);
    }
}
