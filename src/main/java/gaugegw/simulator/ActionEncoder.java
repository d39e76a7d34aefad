package gaugegw.simulator;

import gaugegw.balancer.api.Action;
import java.nio.charset.StandardCharsets;

/**
 * Collects the messages of one reply: one line per action or failure, then the line that ends the reply. One object is
 * reused for all replies. Not thread-safe.
 */
final class ActionEncoder {
    private static final int INITIAL_CAPACITY_CHARS = 1 << 12;

    private final StringBuilder reply = new StringBuilder(INITIAL_CAPACITY_CHARS);

    /** Appends the message for an action of an instance. */
    void appendAction(int instanceId, Action action) {
        if (action instanceof Action.StartAttempt start) {
            appendStartAttempt(instanceId, start);
        } else if (action instanceof Action.SetTimer timer) {
            startMessage(WireNames.SET_TIMER, instanceId)
                    .appendField(WireNames.TIMER_AT_US, timer.atUs())
                    .appendField(WireNames.TIMER_TOKEN, timer.token());
        } else if (action instanceof Action.Reject reject) {
            appendReject(instanceId, reject);
        } else if (action instanceof Action.Fail fail) {
            startMessage(WireNames.FAIL, instanceId).appendField(WireNames.REQUEST_ID, fail.requestId());
        } else if (action instanceof Action.CancelAttempt cancel) {
            startMessage(WireNames.CANCEL_ATTEMPT, instanceId)
                    .appendField(WireNames.REQUEST_ID, cancel.requestId())
                    .appendField(WireNames.ATTEMPT_NUMBER, cancel.attempt());
        } else if (action instanceof Action.CloseIdleConnections close) {
            startMessage(WireNames.CLOSE_IDLE_CONNECTIONS, instanceId)
                    .appendField(WireNames.ENDPOINT_ID, close.endpointId());
        } else if (action instanceof Action.WatchEndpoints watch) {
            startMessage(WireNames.WATCH_ENDPOINTS, instanceId)
                    .appendField(WireNames.WATCH_ENABLED, watch.enabled() ? 1 : 0);
        } else if (action instanceof Action.FetchEndpoints) {
            startMessage(WireNames.FETCH_ENDPOINTS, instanceId);
        } else if (action instanceof Action.CheckHealth check) {
            // The load balancer emits no CheckHealth, FetchEndpoints or LogMessage action; they are encoded because the
            // wire protocol defines a message for each.
            startMessage(WireNames.CHECK_HEALTH, instanceId).appendField(WireNames.ENDPOINT_ID, check.endpointId());
        } else if (action instanceof Action.LogMessage log) {
            startMessage(WireNames.LOG_MESSAGE, instanceId)
                    .appendField(WireNames.MESSAGE_TEXT, replaceLineBreaks(log.text()));
        } else {
            throw new IllegalStateException("the wire protocol has no message for the action " + action);
        }
        reply.append('\n');
    }

    private void appendStartAttempt(int instanceId, Action.StartAttempt start) {
        startMessage(WireNames.START_ATTEMPT, instanceId)
                .appendField(WireNames.REQUEST_ID, start.requestId())
                .appendField(WireNames.ENDPOINT_ID, start.endpointId())
                .appendField(WireNames.ATTEMPT_TIMEOUT_US, start.timeoutUs());
    }

    private void appendReject(int instanceId, Action.Reject reject) {
        startMessage(WireNames.REJECT, instanceId).appendField(WireNames.REQUEST_ID, reject.requestId());
        if (reject.retryAfterUs() > 0) {
            appendField(WireNames.RETRY_AFTER_US, reject.retryAfterUs());
        }
    }

    /**
     * Appends the message that reports that the load balancer of an instance has thrown an exception. Includes the
     * topmost stack frame of the exception, if it has any.
     */
    void appendFailure(int instanceId, RuntimeException failure) {
        startMessage(WireNames.INSTANCE_FAILED, instanceId)
                .appendField(WireNames.MESSAGE_TEXT, replaceLineBreaks(String.valueOf(failure)));
        StackTraceElement[] trace = failure.getStackTrace();
        if (trace.length > 0) {
            reply.append(" at ").append(trace[0]);
        }
        reply.append('\n');
    }

    /** Ends the reply and returns it as bytes; the messages appended afterwards belong to the next reply. */
    byte[] finishReply() {
        reply.append(WireNames.REPLY_END).append('\n');
        byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
        reply.setLength(0);
        return bytes;
    }

    private ActionEncoder startMessage(String name, int instanceId) {
        reply.append(name);
        return appendField(WireNames.INSTANCE_ID, instanceId);
    }

    private ActionEncoder appendField(String key, String value) {
        reply.append(' ').append(key).append('=').append(value);
        return this;
    }

    private ActionEncoder appendField(String key, long value) {
        reply.append(' ').append(key).append('=').append(value);
        return this;
    }

    /** Replaces each line break by a space: a line break would end the message. */
    private static String replaceLineBreaks(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
