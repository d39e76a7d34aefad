package gaugegw.proxy.client;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Thrown for a client's request that can't be forwarded. The message is sent to the client. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient HttpResponseStatus status;

    /** Creates an exception without a stack trace, because each invalid request of a client creates one. */
    InvalidRequestException(HttpResponseStatus status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    HttpResponseStatus status() {
        return status;
    }
}
