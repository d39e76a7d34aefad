package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A request without a final answer, or with attempts still in flight. Times are on the proxy's clock, in microseconds.
 * The queue sets what holds while queued, the registry what is answered; attempts are counted here.
 */
final class PendingRequest {
    final String id;
    final RequestClass requestClass;
    /** See {@link RequestFlows}. */
    final int flow;
    /** The requests of a key belong on one endpoint; null where affinity does not apply. */
    final String affinityKey;

    /** Without a unit; requests of a higher weight go first. */
    final double priorityWeight;
    /** When the latency objective passes; no retry begins afterwards. */
    final long objectiveAtUs;
    /** When the client gives up. */
    final long deadlineAtUs;
    /** By number, those that have ended included. */
    final List<AttemptRecord> attempts = new ArrayList<>(2);

    int attemptsInFlight;
    /** Whether the client has its final answer, or has left. */
    boolean answered;
    /** While queued: when it is given up. */
    long giveUpAtUs;
    /** While queued: the share of the request classes with a lower priority weight, from 0 to 1. */
    double lowerPriorityShare;
    /** While queued: the endpoint that likely has the affinity key cached, or null. */
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
