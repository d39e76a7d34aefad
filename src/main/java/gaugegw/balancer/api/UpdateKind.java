package gaugegw.balancer.api;

/** What an {@link Event.EndpointUpdate} contains. */
public enum UpdateKind {
    /** The entries that have changed. */
    DELTA,
    /** The complete list. */
    SNAPSHOT,
    /** The complete list that the proxy had stored before it restarted; it may be out of date. */
    CACHED,
    /** No entries: a call to discovery has failed or a watch has ended. The list so far stays in force. */
    POLL_FAILED
}
