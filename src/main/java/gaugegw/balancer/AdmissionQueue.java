package gaugegw.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * The requests that wait for an attempt, in order: the highest priority weight first, then the earliest objective. Sets
 * when each is given up, which is early enough that the final answer is of use to the client.
 */
final class AdmissionQueue {
    /** A request is given up so many latency budgets before its objective: an attempt would be answered too late. */
    private static final int GIVE_UP_LATENCY_BUDGETS = 2;
    /** A request is given up so many event intervals before its deadline, or the client would leave unanswered. */
    private static final int GIVE_UP_EVENT_INTERVALS = 2;

    private final long giveUpBeforeObjectiveUs;
    private final long giveUpBeforeDeadlineUs;
    private final RequestFlows flows;
    private final CacheAffinity affinity;
    private final List<PendingRequest> requests = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param minEventIntervalUs the least time between two rounds of events, in microseconds
     */
    AdmissionQueue(ControlParameters parameters, long minEventIntervalUs, RequestFlows flows, CacheAffinity affinity) {
        this.giveUpBeforeObjectiveUs = GIVE_UP_LATENCY_BUDGETS * parameters.latencyBudgetUs();
        this.giveUpBeforeDeadlineUs = GIVE_UP_EVENT_INTERVALS * minEventIntervalUs;
        this.flows = flows;
        this.affinity = affinity;
    }

    /** Queues a request behind those that outrank it or equal it. */
    void add(PendingRequest request) {
        long giveUpAtUs = Math.min(
                request.objectiveAtUs() - giveUpBeforeObjectiveUs, request.deadlineAtUs() - giveUpBeforeDeadlineUs);
        request.recordQueued(
                giveUpAtUs, flows.shareBelow(request.priorityWeight()), affinity.endpointFor(request.affinityKey()));
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
        return requests.stream().mapToLong(PendingRequest::giveUpAtUs).min().orElse(Long.MAX_VALUE);
    }
}
