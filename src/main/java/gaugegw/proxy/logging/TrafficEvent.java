package gaugegw.proxy.logging;

import java.util.Locale;

/** The events that {@link TrafficCounters} counts. Their names, in lower case, are those in the log. */
public enum TrafficEvent {
    /** A client got the response of a backend. */
    REQUEST_SERVED,
    /** A client got a rejection, which promises that its request was not executed. */
    REQUEST_REJECTED,
    /** A client got a failure; its request may have been executed. */
    REQUEST_FAILED,
    /** A client disconnected before it got a response. */
    REQUEST_ABANDONED,
    /** A request was rejected at its deadline, while its connection waited for its turn to be read. */
    REQUEST_UNREAD_AT_DEADLINE,
    /** A connection failed before its client got a response; each is logged by itself. */
    REQUEST_UNANSWERED,
    /** A response was passed to a connection that ended before all of it was written. */
    RESPONSE_NOT_WRITTEN,
    /** A system call on a socket failed and was made again. */
    SOCKET_CALL_FAILED,
    /** An attempt received a successful response. */
    ATTEMPT_SUCCEEDED,
    /** An attempt was rejected by the backend before it was executed. */
    ATTEMPT_REJECTED,
    /** An attempt received an error response, or one that is invalid or incomplete. */
    ATTEMPT_ERROR,
    /** An attempt got no response within its timeout. */
    ATTEMPT_TIMED_OUT,
    /** An attempt got no connection, or its request could not be written completely. */
    ATTEMPT_CONNECT_FAILED,
    /** The connection of an attempt broke before the response was complete. */
    ATTEMPT_RESET,
    /** An attempt was cancelled by the load balancer. */
    ATTEMPT_CANCELLED,
    /** An attempt did not start. */
    ATTEMPT_NOT_SENT;

    /** Returns the name in the log. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
