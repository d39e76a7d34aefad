package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;

/** Receives the one end of an attempt, on the event loop. */
public interface AttemptListener {
    /**
     * Called once, when the attempt has ended.
     *
     * @param outcome how it ended
     * @param latencyUs time since the attempt was started, in microseconds
     * @param response the backend's response for {@link AttemptOutcome#SUCCESS}, else null; the listener releases it
     */
    void ended(AttemptOutcome outcome, long latencyUs, UpstreamResponse response);
}
