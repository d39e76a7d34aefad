package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A request that has no final answer yet, or still has attempts in flight. Points in time are on the proxy's clock, in
 * microseconds. {@link AdmissionQueue} sets the values that apply while the request is queued; {@link RequestRegistry}
 * marks the request as answered.
 */
final class PendingRequest {
    /** Most requests need one attempt, and few need more than one retry. */
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
     * @param flow the index of its flow, see {@link RequestFlows}
     * @param affinityKey requests with the same key should go to the same endpoint; null if affinity does not apply
     * @param priorityWeight requests of a higher weight are started first; without a unit
     * @param objectiveAtUs when the latency objective passes, or the deadline if late answers still count; no retry
     *     starts afterwards
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

    /** Returns the affinity key, or null if affinity does not apply. */
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

    /** Returns all attempts in the order of their numbers, ended ones too. The list is live and must not be changed. */
    List<AttemptRecord> attempts() {
        return attempts;
    }

    int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Returns whether the request has its final answer, or its client has disconnected. */
    boolean isAnswered() {
        return answered;
    }

    /** Returns when the request is given up. Valid while it is queued. */
    long giveUpAtUs() {
        return giveUpAtUs;
    }

    /** Returns the share of request classes with a lower priority weight, from 0 to 1. Valid while it is queued. */
    double lowerPriorityShare() {
        return lowerPriorityShare;
    }

    /** Returns the endpoint that probably has the affinity key cached, or null. Valid while it is queued. */
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
