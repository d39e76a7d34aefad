package gaugegw.simulator;

import gaugegw.balancer.api.Action;
import java.nio.charset.StandardCharsets;

/**
 * Collects the reply to a batch, one line per action. One object is reused from reply to reply. Not thread-safe.
 */
final class ActionEncoder {
    private static final int INITIAL_CAPACITY_CHARS = 1 << 12;

    private final StringBuilder reply = new StringBuilder(INITIAL_CAPACITY_CHARS);

    /** Appends the line of an action; the one place that dispatches on the type of an action. */
    void action(int instance, Action action) {
        if (action instanceof Action.StartAttempt start) {
            startAttempt(instance, start);
        } else if (action instanceof Action.SetTimer timer) {
            message(WireNames.SET_TIMER, instance)
                    .field(WireNames.TIMER_AT_US, timer.atUs())
                    .field(WireNames.TIMER_TOKEN, timer.token());
        } else if (action instanceof Action.Reject reject) {
            reject(instance, reject);
        } else if (action instanceof Action.Fail fail) {
            message(WireNames.FAIL, instance).field(WireNames.REQUEST_ID, fail.requestId());
        } else if (action instanceof Action.CancelAttempt cancel) {
            message(WireNames.CANCEL_ATTEMPT, instance)
                    .field(WireNames.REQUEST_ID, cancel.requestId())
                    .field(WireNames.ATTEMPT, cancel.attempt());
        } else if (action instanceof Action.CloseIdleConnections close) {
            message(WireNames.CLOSE_IDLE_CONNECTIONS, instance).field(WireNames.ENDPOINT_ID, close.endpointId());
        } else if (action instanceof Action.WatchEndpoints watch) {
            message(WireNames.WATCH_ENDPOINTS, instance).field(WireNames.WATCH_ENABLED, watch.enabled() ? 1 : 0);
        } else if (action instanceof Action.FetchEndpoints) {
            message(WireNames.FETCH_ENDPOINTS, instance);
        } else if (action instanceof Action.CheckHealth check) {
            // The load balancer emits neither this action nor FetchEndpoints and LogMessage; they exist because the
            // wire has them.
            message(WireNames.CHECK_HEALTH, instance).field(WireNames.ENDPOINT_ID, check.endpointId());
        } else if (action instanceof Action.LogMessage log) {
            message(WireNames.LOG_MESSAGE, instance).field(WireNames.TEXT, onOneLine(log.text()));
        } else {
            throw new IllegalStateException("no line for " + action);
        }
        reply.append('\n');
    }

    private void startAttempt(int instance, Action.StartAttempt start) {
        message(WireNames.START_ATTEMPT, instance)
                .field(WireNames.REQUEST_ID, start.requestId())
                .field(WireNames.ENDPOINT_ID, start.endpointId())
                .field(WireNames.ATTEMPT_TIMEOUT_US, start.timeoutUs());
    }

    private void reject(int instance, Action.Reject reject) {
        message(WireNames.REJECT, instance).field(WireNames.REQUEST_ID, reject.requestId());
        if (reject.retryAfterUs() > 0) {
            field(WireNames.RETRY_AFTER_US, reject.retryAfterUs());
        }
    }

    /** Appends the line that reports an instance's load balancer as failed, with the place of the failure. */
    void failure(int instance, RuntimeException failure) {
        message(WireNames.INSTANCE_FAILED, instance).field(WireNames.TEXT, onOneLine(String.valueOf(failure)));
        StackTraceElement[] trace = failure.getStackTrace();
        if (trace.length > 0) {
            reply.append(" at ").append(trace[0]);
        }
        reply.append('\n');
    }

    /** Ends the reply, returns its bytes and begins the next one. */
    byte[] finishReply() {
        reply.append(WireNames.REPLY_END).append('\n');
        byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
        reply.setLength(0);
        return bytes;
    }

    private ActionEncoder message(String name, int instance) {
        reply.append(name);
        return field(WireNames.INSTANCE, instance);
    }

    private ActionEncoder field(String key, String value) {
        reply.append(' ').append(key).append('=').append(value);
        return this;
    }

    private ActionEncoder field(String key, long value) {
        reply.append(' ').append(key).append('=').append(value);
        return this;
    }

    /** Replaces line breaks, as each would end the message. */
    private static String onOneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
