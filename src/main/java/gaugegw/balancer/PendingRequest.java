package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A request without a final answer, or with attempts still in flight. Times are on the proxy's clock, in microseconds.
 * {@link AdmissionQueue} sets what holds while queued, {@link RequestRegistry} what is answered; attempts are counted
 * here.
 */
final class PendingRequest {
    /** Most requests have one attempt, and few have more than one retry. */
    private static final int EXPECTED_ATTEMPTS = 2;

    private final String id;
    private final RequestClass requestClass;
    private final int flow;
    private final String affinityKey;
    private final double priorityWeight;
    private final long objectiveAtUs;
    private final long deadlineAtUs;
    private final List<AttemptRecord> attempts = new ArrayList<>(EXPECTED_ATTEMPTS);
    private int attemptsInFlight;
    private boolean answered;
    private long giveUpAtUs;
    private double lowerPriorityShare;
    private EndpointRecord affinityEndpoint;

    /**
     * Creates a request without attempts.
     *
     * @param flow its number in {@link RequestFlows}
     * @param affinityKey the requests of a key belong on one endpoint; null where affinity does not apply
     * @param priorityWeight without a unit; requests of a higher weight go first
     * @param objectiveAtUs when the latency objective passes; no retry begins afterwards
     * @param deadlineAtUs when the client gives up
     */
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

    String id() {
        return id;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    int flow() {
        return flow;
    }

    /** Returns the affinity key, or null where affinity does not apply. */
    String affinityKey() {
        return affinityKey;
    }

    double priorityWeight() {
        return priorityWeight;
    }

    long objectiveAtUs() {
        return objectiveAtUs;
    }

    long deadlineAtUs() {
        return deadlineAtUs;
    }

    /** Returns the attempts by number, those that have ended included; a live list, not to be changed. */
    List<AttemptRecord> attempts() {
        return attempts;
    }

    int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Returns whether the client has its final answer, or has left. */
    boolean isAnswered() {
        return answered;
    }

    /** Returns when the request is given up; holds while queued. */
    long giveUpAtUs() {
        return giveUpAtUs;
    }

    /** Returns the share of the request classes with a lower priority weight, from 0 to 1; holds while queued. */
    double lowerPriorityShare() {
        return lowerPriorityShare;
    }

    /** Returns the endpoint that likely has the affinity key cached, or null; holds while queued. */
    EndpointRecord affinityEndpoint() {
        return affinityEndpoint;
    }

    boolean hasTried(EndpointRecord endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    boolean isInFlight(int attempt) {
        return attempt < attempts.size() && attempts.get(attempt).isInFlight();
    }

    void recordQueued(long giveUpAtUs, double lowerPriorityShare, EndpointRecord affinityEndpoint) {
        this.giveUpAtUs = giveUpAtUs;
        this.lowerPriorityShare = lowerPriorityShare;
        this.affinityEndpoint = affinityEndpoint;
    }

    void recordAttemptStarted(AttemptRecord attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void recordAttemptEnded(AttemptRecord attempt, AttemptOutcome outcome) {
        attempt.recordOutcome(outcome);
        attemptsInFlight--;
    }

    void markAnswered() {
        answered = true;
    }
}
