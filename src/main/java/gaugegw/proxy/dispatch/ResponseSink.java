package gaugegw.proxy.dispatch;

import gaugegw.proxy.upstream.UpstreamResponse;

/**
 * Sends the response to a request, on the client's connection. Exactly one of {@link #sendResponse},
 * {@link #sendRejection} and {@link #sendFailure} is called, once; none is called if the client disconnects first. If
 * the call throws an exception, {@link #sendFailure} is called after it. All methods are called on the event loop.
 */
public interface ResponseSink {
    /**
     * Checks whether the client has closed its connection, by reading what has arrived on it: while the event loop is
     * busy, a close may have arrived without having been read. Reads nothing if that was done a moment ago. If the
     * client has closed, {@link RequestDispatcher#clientDisconnected} is called before this returns.
     */
    void detectDisconnect();

    /** Sends a backend's response; the sink releases its body. */
    void sendResponse(UpstreamResponse response);

    /**
     * Responds that the request was rejected and that a retry is harmless.
     *
     * @param retryAfterUs the time that the client should wait before a retry, in microseconds; 0 for no advice
     */
    void sendRejection(long retryAfterUs);

    /** Responds that the request has failed and may have been executed. */
    void sendFailure();
}
