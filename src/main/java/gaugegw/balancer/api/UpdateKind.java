package gaugegw.balancer.api;

/** What an {@link Event.EndpointUpdate} contains. */
public enum UpdateKind {
    /** The entries that have changed. */
    DELTA,
    /** The complete list. */
    SNAPSHOT,
    /** The complete list as the proxy had it before its restart; it may be out of date. */
    CACHED,
    /** Nothing: a call to discovery has failed or a watch has ended, and the list so far stays in force. */
    POLL_FAILED
}
