package gaugegw.proxy.discovery;

import java.util.OptionalLong;

/**
 * The parameters of a call to discovery.
 *
 * @param fromVersion the version of the list that the proxy has, which asks for the updates after it; empty to ask for
 *     the complete list, which discovery sends at once
 * @param holdMs how long discovery may hold the call while there is no update, in milliseconds; 0 if it has to respond
 *     at once
 * @param timeoutMs the timeout, in milliseconds, counted from the end of the hold; also limits the time to connect and
 *     the time from the beginning of a response to its end
 */
record DiscoveryQuery(OptionalLong fromVersion, long holdMs, long timeoutMs) {
    private static final String PATH = "/v1/endpoints";

    /** Returns whether discovery may hold the call until there is an update. */
    boolean mayBeHeld() {
        return holdMs > 0;
    }

    /** Returns the longest time from the start of the call to its end, in milliseconds. */
    long totalTimeoutMs() {
        return holdMs + timeoutMs;
    }

    /**
     * Returns whether a list can be applied to the one that the proxy has. A snapshot always can; a delta can if a
     * version was sent and the version of the delta is not below it.
     */
    boolean accepts(EndpointList list) {
        return list.full() || (fromVersion.isPresent() && list.version() >= fromVersion.getAsLong());
    }

    /** Returns the request target: the path, and the query if there is one. */
    String uri() {
        return fromVersion.isPresent() ? PATH + "?from=" + fromVersion.getAsLong() + "&hold_ms=" + holdMs : PATH;
    }
}
