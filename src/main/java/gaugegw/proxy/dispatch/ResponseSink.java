package gaugegw.proxy.dispatch;

import gaugegw.proxy.upstream.UpstreamResponse;

/**
 * The client's side of a request. Exactly one of {@link #sendResponse}, {@link #sendRejection} and {@link #sendFailure}
 * is called, once, or none where the client has disconnected before; {@link #sendFailure} also follows on one that threw.
 * All calls are made on the event loop.
 */
public interface ResponseSink {
    /**
     * Reads what the client has sent, unless that was done a moment ago: its close may lie unread while the event loop
     * is busy. Where the client has closed, {@link RequestDispatcher#clientDisconnected} is called before this returns.
     */
    void detectDisconnect();

    /** Answers with a backend's response; the sink releases its body. */
    void sendResponse(UpstreamResponse response);

    /**
     * Answers that the request was rejected and that a retry is harmless.
     *
     * @param retryAfterUs the time after which the client should retry, in microseconds; 0: no advice
     */
    void sendRejection(long retryAfterUs);

    /** Answers that the request has failed; it may have been executed. */
    void sendFailure();
}
