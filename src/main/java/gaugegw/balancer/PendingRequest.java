package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** A request without a final answer, or with attempts still in flight. Times are on the proxy's clock. */
final class PendingRequest {
    final String id;
    final RequestClass requestClass;
    /** See {@link RequestFlows}. */
    final int flow;
    /** The requests of a key belong on one endpoint; null where affinity does not apply. */
    final String affinityKey;

    final double priorityWeight;
    final long objectiveAtUs;
    final long deadlineAtUs;
    final List<AttemptRecord> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    /** Whether the client has its final answer, or has left. */
    boolean answered;
    /** While queued: when it is given up, the share of classes with a lower weight, and its key's endpoint or null. */
    long giveUpAtUs;

    double lowerPriorityShare;
    EndpointRecord affinityEndpoint;

    PendingRequest(
            String id,
            RequestClass requestClass,
            int flow,
            String affinityKey,
            double priorityWeight,
            long objectiveAtUs,
            long deadlineAtUs) {
        this.id = id;
        this.requestClass = requestClass;
        this.flow = flow;
        this.affinityKey = affinityKey;
        this.priorityWeight = priorityWeight;
        this.objectiveAtUs = objectiveAtUs;
        this.deadlineAtUs = deadlineAtUs;
    }

    boolean hasTried(EndpointRecord endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).endpoint == endpoint) {
                return true;
            }
        }
        return false;
    }

    boolean isInFlight(int attempt) {
        return attempt < attempts.size() && attempts.get(attempt).isInFlight();
    }

    void attemptStarted(AttemptRecord attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void attemptEnded(AttemptRecord attempt, AttemptOutcome outcome) {
        attempt.outcome = outcome;
        attemptsInFlight--;
    }
}
