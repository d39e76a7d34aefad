package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;

/**
 * The time since the last response on a connection to a backend, and whether the connection may be reused by now. All
 * times are of the proxy's clock, in microseconds. Used on the event loop only.
 */
final class IdlePeriod {
    /**
     * Minimum time between a response and the reuse of its connection. If a faulty backend writes a second response
     * directly after the first, the second one has been received by then, and the connection is closed; see {@link
     * gaugegw.proxy.transport.Transport#acknowledgeReceived}.
     */
    private static final long REUSE_DELAY_US = 10_000;
    /**
     * Minimum time between a rejection and the reuse of its connection. A rejection proves that a request was not
     * executed, so a late copy of it must not be taken for the response to the next request. The backend's kernel may
     * delay such a copy until it receives an acknowledgement of the rejection (Nagle's algorithm, RFC 9293, section
     * 3.7.4), which may take 200 ms. This is longer, by far more than the few milliseconds by which the copy may have
     * been written later.
     */
    private static final long REUSE_DELAY_AFTER_REJECTION_US = 300_000;

    /** 0 before the first response. */
    private long startedAtUs;

    private long reuseDelayUs;

    /**
     * Records a response, after which the connection may become idle.
     *
     * @param outcome the outcome of the attempt that received the response
     */
    void responseReceived(AttemptOutcome outcome) {
        reuseDelayUs = outcome == AttemptOutcome.REJECTED ? REUSE_DELAY_AFTER_REJECTION_US : REUSE_DELAY_US;
    }

    /** Starts the period: the connection is idle from now on. */
    void start(long nowUs) {
        startedAtUs = nowUs;
    }

    /** Returns how long the connection has been idle; 0 if it is new. */
    long durationUs(long nowUs) {
        return startedAtUs == 0 ? 0 : nowUs - startedAtUs;
    }

    /** Returns whether enough time has passed since the last response for the connection to be reused. */
    boolean allowsReuse(long nowUs) {
        return durationUs(nowUs) >= reuseDelayUs;
    }
}
