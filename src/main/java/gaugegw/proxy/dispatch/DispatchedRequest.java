package gaugegw.proxy.dispatch;

import gaugegw.proxy.upstream.UpstreamAttempt;
import gaugegw.proxy.upstream.UpstreamRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A request and its attempts. It is kept until it has ended and no attempt of it is in flight. Event loop only.
 */
final class DispatchedRequest {
    /** What its client is still owed; a request leaves {@link #OPEN} once and never returns to it. */
    private enum State {
        /** The client waits for the one response. */
        OPEN,
        /** The response has been handed to the {@link ResponseSink}. */
        ANSWERED,
        /** The client has closed its connection, and no response is sent. */
        CLIENT_DISCONNECTED
    }

    private final ClientRequest clientRequest;
    private final ResponseSink responseSink;
    /** In the order in which the load balancer started them; empty where an attempt could not begin. */
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

    /** Returns the last useful moment of a response, on the proxy's clock, in microseconds. */
    long deadlineAtUs() {
        return clientRequest.deadlineAtUs();
    }

    UpstreamRequest upstreamRequest() {
        return clientRequest.upstreamRequest();
    }

    /** Hands over the timer that is cancelled when the request ends. */
    void setOverdueTimer(Future<?> timer) {
        overdueTimer = timer;
    }

    /** Returns whether the client still waits for its response. */
    boolean isOpen() {
        return state == State.OPEN;
    }

    /** Returns whether nothing more happens to the request: it has ended, and no attempt is in flight. */
    boolean isComplete() {
        return state != State.OPEN && attemptsInFlight == 0;
    }

    /** Looks whether the client has closed its connection; where it has, the request has ended on return. */
    void detectDisconnect() {
        responseSink.detectDisconnect();
    }

    /**
     * Ends the request with its one response.
     *
     * @throws RuntimeException if the response could not be sent; the client is still owed one
     */
    void answer(Consumer<ResponseSink> response) {
        end(State.ANSWERED);
        response.accept(responseSink);
    }

    /** Sends a failure in place of a response that could not be sent. */
    void replaceResponseByFailure() {
        responseSink.sendFailure();
    }

    /** Ends the request without a response. */
    void clientDisconnected() {
        end(State.CLIENT_DISCONNECTED);
    }

    private void end(State ended) {
        state = ended;
        overdueTimer.cancel(false);
    }

    /** Returns how many attempts the load balancer has started, those that could not begin included. */
    int attemptCount() {
        return attempts.size();
    }

    boolean hasAttemptInFlight() {
        return attemptsInFlight > 0;
    }

    /** Adds the next attempt, which goes in flight; empty: it could not begin, but keeps its number. */
    void addAttempt(Optional<UpstreamAttempt> attempt) {
        attempts.add(attempt);
        if (attempt.isPresent()) {
            attemptsInFlight++;
        }
    }

    /** Takes note of the one end of an attempt that was in flight. */
    void attemptEnded() {
        attemptsInFlight--;
    }

    /** Returns an attempt by its number, or empty where there is none or it could not begin. */
    Optional<UpstreamAttempt> attempt(int number) {
        return number < attempts.size() ? attempts.get(number) : Optional.empty();
    }

    /** Returns a copy of the attempts that have begun, in their order. */
    List<UpstreamAttempt> attempts() {
        return attempts.stream().flatMap(Optional::stream).toList();
    }
}
