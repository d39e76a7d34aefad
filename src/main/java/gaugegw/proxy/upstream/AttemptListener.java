package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;

/** Is notified of the outcome of an attempt, on the event loop. */
public interface AttemptListener {
    /**
     * Called exactly once, when the attempt has ended.
     *
     * @param outcome how the attempt ended
     * @param latencyUs time from the start of the attempt to its end, in microseconds
     * @param response the backend's response if the outcome is {@link AttemptOutcome#SUCCESS}, otherwise null; the
     *     listener must release its body
     */
    void attemptEnded(AttemptOutcome outcome, long latencyUs, UpstreamResponse response);
}
