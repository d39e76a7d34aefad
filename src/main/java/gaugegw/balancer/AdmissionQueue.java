package gaugegw.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * The requests that wait for an attempt, ordered by priority weight (highest first) and then by latency objective
 * (earliest first). Also determines when each request is given up: early enough that its final answer is still of use
 * to the client.
 */
final class AdmissionQueue {
    /**
     * A request is given up this many latency budgets before its objective; a later attempt would miss the objective.
     */
    private static final int GIVE_UP_LATENCY_BUDGETS = 2;
    /**
     * A request is given up this many event intervals before its deadline; later, the client could disconnect before it
     * has an answer.
     */
    private static final int GIVE_UP_EVENT_INTERVALS = 2;

    private final long giveUpBeforeObjectiveUs;
    private final long giveUpBeforeDeadlineUs;
    private final RequestFlows flows;
    private final CacheAffinity affinity;
    private final List<PendingRequest> requests = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param minEventIntervalUs the shortest time between two rounds of events, in microseconds
     */
    AdmissionQueue(ControlParameters parameters, long minEventIntervalUs, RequestFlows flows, CacheAffinity affinity) {
        this.giveUpBeforeObjectiveUs = GIVE_UP_LATENCY_BUDGETS * parameters.latencyBudgetUs();
        this.giveUpBeforeDeadlineUs = GIVE_UP_EVENT_INTERVALS * minEventIntervalUs;
        this.flows = flows;
        this.affinity = affinity;
    }

    /** Adds a request behind all requests of a higher or equal rank. */
    void add(PendingRequest request) {
        long giveUpAtUs = Math.min(
                request.objectiveAtUs() - giveUpBeforeObjectiveUs, request.deadlineAtUs() - giveUpBeforeDeadlineUs);
        request.recordQueued(
                giveUpAtUs,
                flows.lowerPriorityShare(request.priorityWeight()),
                affinity.endpointFor(request.affinityKey()));
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

    /** Returns the earliest time at which a request is given up, or {@link Long#MAX_VALUE} if the queue is empty. */
    long nextGiveUpAtUs() {
        return requests.stream().mapToLong(PendingRequest::giveUpAtUs).min().orElse(Long.MAX_VALUE);
    }
}
