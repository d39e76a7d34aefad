package gaugegw.proxy.discovery;

import java.util.OptionalLong;

/**
 * What a call asks discovery for.
 *
 * @param fromVersion the version that the cached list has; empty: the complete list is wanted, and at once
 * @param holdMs how long discovery may hold the call until it has an update, in milliseconds; 0: not at all
 * @param timeoutMs time beyond the hold within which the response must be there, in milliseconds; also the time within
 *     which the connection must come up, and the rest of a response that has begun
 */
record DiscoveryQuery(OptionalLong fromVersion, long holdMs, long timeoutMs) {
    private static final String PATH = "/v1/endpoints";

    /** Returns whether the call may be held until there is an update. */
    boolean mayBeHeld() {
        return holdMs > 0;
    }

    /** Returns the time from the start of the call to its end at the latest, in milliseconds. */
    long totalTimeoutMs() {
        return holdMs + timeoutMs;
    }

    /** Returns whether a list can be applied to the cached one: a delta has to follow on the version that was sent. */
    boolean accepts(EndpointList list) {
        return list.full() || (fromVersion.isPresent() && list.version() >= fromVersion.getAsLong());
    }

    /** Returns the path and query of the HTTP request. */
    String uri() {
        return fromVersion.isPresent() ? PATH + "?from=" + fromVersion.getAsLong() + "&hold_ms=" + holdMs : PATH;
    }
}
