package gaugegw.simulator.workload;

import java.util.ArrayList;
import java.util.List;

/** A request as its client sees it, with the attempts that the proxy has started for it. */
final class SimulatedRequest {
    private final String id;
    private final SimulatedProxy proxy;
    private final int incarnation;
    private final RequestContent content;
    private final long deadlineUs;
    private final int submission;
    private final List<SimulatedAttempt> attempts = new ArrayList<>();
    private boolean finished;
    private long finishedAtUs;
    private boolean streaming;

    /** Creates a request to the present incarnation of a proxy; {@code submission} is 1 for the first, then 2, ... */
    SimulatedRequest(String id, SimulatedProxy proxy, RequestContent content, long deadlineUs, int submission) {
        this.id = id;
        this.proxy = proxy;
        this.incarnation = proxy.incarnation();
        this.content = content;
        this.deadlineUs = deadlineUs;
        this.submission = submission;
    }

    String id() {
        return id;
    }

    SimulatedProxy proxy() {
        return proxy;
    }

    RequestContent content() {
        return content;
    }

    RequestClass requestClass() {
        return content.requestClass();
    }

    /** Returns the time until which the client waits. */
    long deadlineUs() {
        return deadlineUs;
    }

    int submission() {
        return submission;
    }

    SimulatedAttempt startAttempt(SimulatedBackend backend, long nowUs) {
        var attempt = new SimulatedAttempt(this, backend, attempts.size(), nowUs);
        attempts.add(attempt);
        backend.attemptStarted();
        return attempt;
    }

    SimulatedAttempt attempt(int index) {
        return attempts.get(index);
    }

    int attemptCount() {
        return attempts.size();
    }

    /** Marks the request as answered or abandoned; the first time counts. */
    void finish(long nowUs) {
        if (!finished) {
            finished = true;
            finishedAtUs = nowUs;
        }
    }

    boolean isFinished() {
        return finished;
    }

    boolean isFinishedBefore(long timeUs) {
        return finished && finishedAtUs < timeUs;
    }

    void startStreaming() {
        streaming = true;
    }

    /** Returns whether part of the response has reached the client. */
    boolean isStreaming() {
        return streaming;
    }

    /** Returns whether the incarnation of the proxy that had accepted the request is gone. */
    boolean isLost() {
        return !proxy.isRunning(incarnation);
    }
}
