package gaugegw.balancer;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** A request without a final answer, or one that has its answer but still has attempts in flight. */
final class PendingRequest {
    private final String id;
    private final RequestClass requestClass;
    private final int flow;
    private final String affinityKey;
    private final double priorityWeight;
    private final long objectiveAtUs;
    private final long deadlineAtUs;
    private final List<AttemptRecord> attempts = new ArrayList<>(2);
    private int attemptsInFlight;
    private boolean answered;
    private long giveUpAtUs;
    private double lowerPriorityShare;
    private EndpointRecord affinityEndpoint;

    /**
     * Creates a request without attempts.
     *
     * @param flow number of its flow, see {@link RequestFlows}
     * @param affinityKey its cache key, or null where affinity does not apply
     * @param objectiveAtUs when its latency objective passes, on the proxy's clock in microseconds
     * @param deadlineAtUs when the client gives up, on the proxy's clock in microseconds
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

    /** Returns the key whose requests belong on one endpoint, or null. */
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

    /** Returns the attempts by number; owned by this request, not to be changed. */
    List<AttemptRecord> attempts() {
        return attempts;
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    boolean hasTried(EndpointRecord endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    boolean hasAttemptsInFlight() {
        return attemptsInFlight > 0;
    }

    void attemptStarted(AttemptRecord attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    /** Returns whether an attempt of this number has started and has not ended. */
    boolean isInFlight(int attemptNumber) {
        return attemptNumber < attempts.size() && attempts.get(attemptNumber).isInFlight();
    }

    void attemptEnded(AttemptRecord attempt, AttemptOutcome outcome) {
        attempt.end(outcome);
        attemptsInFlight--;
    }

    /** Returns whether the client has its final answer, or has disconnected. */
    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Returns whether this request goes before another: by priority weight, then by the earlier latency objective. */
    boolean outranks(PendingRequest other) {
        return priorityWeight > other.priorityWeight
                || (priorityWeight == other.priorityWeight && objectiveAtUs < other.objectiveAtUs);
    }

    /**
     * Sets what holds for as long as the request is queued.
     *
     * @param giveUpAtUs when it is rejected if no attempt has started, on the proxy's clock in microseconds
     * @param lowerPriorityShare share of the request classes with a lower priority weight, from 0 to 1
     * @param affinityEndpoint the endpoint that likely has its key cached, or null
     */
    void queued(long giveUpAtUs, double lowerPriorityShare, EndpointRecord affinityEndpoint) {
        this.giveUpAtUs = giveUpAtUs;
        this.lowerPriorityShare = lowerPriorityShare;
        this.affinityEndpoint = affinityEndpoint;
    }

    long giveUpAtUs() {
        return giveUpAtUs;
    }

    double lowerPriorityShare() {
        return lowerPriorityShare;
    }

    EndpointRecord affinityEndpoint() {
        return affinityEndpoint;
    }
}
