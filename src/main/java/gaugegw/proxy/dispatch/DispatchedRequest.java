package gaugegw.proxy.dispatch;

import gaugegw.proxy.upstream.UpstreamAttempt;
import gaugegw.proxy.upstream.UpstreamRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A request and its attempts. A request ends with its response or when its client disconnects; it stays in the
 * {@link RequestTable} until none of its attempts is in flight. Used on the event loop only.
 */
final class DispatchedRequest {
    /** Whether the client still waits for its response. A request leaves {@link #OPEN} once and never returns to it. */
    private enum State {
        /** The client waits for its response. */
        OPEN,
        /** The response has been passed, or is just being passed, to the {@link ResponseSink}. */
        RESPONDED,
        /** The client disconnected before a response was sent; none is sent any more. */
        CLIENT_DISCONNECTED
    }

    private final ClientRequest clientRequest;
    private final ResponseSink responseSink;
    /** The attempts by their number, from 0; an empty element is an attempt that could not start. */
    private final List<Optional<UpstreamAttempt>> attempts = new ArrayList<>(2);

    private int attemptsInFlight;
    private State state = State.OPEN;
    private Future<?> overdueTimer;

    DispatchedRequest(ClientRequest clientRequest, ResponseSink responseSink) {
        this.clientRequest = clientRequest;
        this.responseSink = responseSink;
    }

    String id() {
        return clientRequest.id();
    }

    String requestClass() {
        return clientRequest.requestClass();
    }

    /** Returns the latest time at which a response is of use to the client, on the proxy's clock, in microseconds. */
    long deadlineAtUs() {
        return clientRequest.deadlineAtUs();
    }

    UpstreamRequest upstreamRequest() {
        return clientRequest.upstreamRequest();
    }

    /** Sets the timer to cancel when the request ends. */
    void setOverdueTimer(Future<?> timer) {
        overdueTimer = timer;
    }

    /** Returns whether the client still waits for its response. */
    boolean isOpen() {
        return state == State.OPEN;
    }

    /** Returns whether the request has ended and no attempt is in flight, so that nothing more can happen to it. */
    boolean isComplete() {
        return state != State.OPEN && attemptsInFlight == 0;
    }

    /** Checks whether the client has closed its connection; if it has, the request has ended when this returns. */
    void detectDisconnect() {
        responseSink.detectDisconnect();
    }

    /**
     * Ends the request and sends its only response.
     *
     * @param responder calls the method of the sink that sends the response
     * @throws RuntimeException if the response could not be sent; the client then still waits for one
     */
    void respond(Consumer<ResponseSink> responder) {
        end(State.RESPONDED);
        responder.accept(responseSink);
    }

    /** Sends a failure after {@link #respond} has thrown an exception. */
    void sendFailureInstead() {
        responseSink.sendFailure();
    }

    /** Ends the request without a response, as its client has disconnected. */
    void clientDisconnected() {
        end(State.CLIENT_DISCONNECTED);
    }

    private void end(State ended) {
        state = ended;
        overdueTimer.cancel(false);
    }

    /** Returns how many attempts the load balancer has asked for, including those that could not start. */
    int attemptCount() {
        return attempts.size();
    }

    boolean hasAttemptInFlight() {
        return attemptsInFlight > 0;
    }

    /**
     * Adds the next attempt. If it could start, it is in flight from now on.
     *
     * @param attempt empty if the attempt could not start; its number is not used again
     */
    void addAttempt(Optional<UpstreamAttempt> attempt) {
        attempts.add(attempt);
        if (attempt.isPresent()) {
            attemptsInFlight++;
        }
    }

    /** Decrements the number of attempts in flight; called once for each attempt, when it ends. */
    void attemptEnded() {
        attemptsInFlight--;
    }

    /** Returns the attempt with a given number; empty if there is none or it could not start. */
    Optional<UpstreamAttempt> attempt(int number) {
        return number < attempts.size() ? attempts.get(number) : Optional.empty();
    }

    /**
     * Returns a copy of the list of attempts, in order. It includes those that have ended, but not those that could not
     * start.
     */
    List<UpstreamAttempt> attempts() {
        return attempts.stream().flatMap(Optional::stream).toList();
    }
}
