package gaugegw.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.proxy.config.JsonTrees;
import gaugegw.proxy.config.SocketAddresses;
import gaugegw.proxy.logging.RateLimitedLog;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Parses endpoint lists from JSON. A malformed entry is logged and ignored, so that the other entries of its list can
 * still be applied. An endpoint whose entry is ignored in a complete list counts as removed.
 */
final class EndpointListParser {
    private static final String ENTRIES_FIELD = "servers";
    private static final int MAX_LOGGED_ENTRY_CHARS = 200;
    private static final double DEFAULT_WEIGHT = 1;
    private static final long NO_VERSION = -1;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final Map<String, EndpointState> STATES = Map.of(
            "ready", EndpointState.READY,
            "draining", EndpointState.DRAINING,
            "gone", EndpointState.GONE);

    private final RateLimitedLog log;

    EndpointListParser(RateLimitedLog log) {
        this.log = log;
    }

    /**
     * Parses the body of a response from discovery and closes the stream. Entries are parsed one by one: the tree of a
     * long list would need many times the memory of the list.
     *
     * @throws MalformedListException if the document as a whole is not an endpoint list
     */
    EndpointList parse(InputStream document) throws MalformedListException {
        var endpoints = new ArrayList<ListedEndpoint>();
        JsonNode list;
        try {
            list = JsonTrees.readStreaming(document, ENTRIES_FIELD, entry -> addEndpoint(entry, endpoints));
        } catch (IOException e) {
            throw new MalformedListException("the response is not valid JSON");
        }
        if (!isList(list)) {
            throw new MalformedListException(
                    "the response is not an endpoint list: expected 'version' as a number of at"
                            + " least 0, 'full' as true or false, and 'servers' as an array");
        }
        return new EndpointList(list.path("version").asLong(), list.path("full").asBoolean(), endpoints);
    }

    private static boolean isList(JsonNode list) {
        JsonNode version = list.path("version");
        return version.canConvertToLong()
                && version.asLong() >= 0
                && list.path("full").isBoolean()
                && list.path(ENTRIES_FIELD).isArray();
    }

    /** Parses the list that the proxy had before its restart. A missing node yields an empty list without a version. */
    CachedEndpointList parseCached(JsonNode list) {
        long version = list.path("version").asLong(NO_VERSION);
        return new CachedEndpointList(
                version < 0 ? OptionalLong.empty() : OptionalLong.of(version), endpoints(list.path(ENTRIES_FIELD)));
    }

    private List<ListedEndpoint> endpoints(JsonNode entries) {
        var endpoints = new ArrayList<ListedEndpoint>(entries.size());
        for (JsonNode entry : entries) {
            addEndpoint(entry, endpoints);
        }
        return endpoints;
    }

    private void addEndpoint(JsonNode entry, List<ListedEndpoint> endpoints) {
        endpoint(entry).ifPresentOrElse(endpoints::add, () -> logMalformed(entry));
    }

    private void logMalformed(JsonNode entry) {
        String text = entry.toString();
        String shortened =
                text.length() <= MAX_LOGGED_ENTRY_CHARS ? text : text.substring(0, MAX_LOGGED_ENTRY_CHARS) + "...";
        log.write("discovery: ignoring an entry of the endpoint list whose id, state, addr or weight is invalid: "
                + shortened);
    }

    /**
     * Parses one entry. Returns empty if its id, state or address is missing or invalid, or if its weight is not
     * positive. A weight that is missing or not a number counts as {@link #DEFAULT_WEIGHT}.
     */
    private static Optional<ListedEndpoint> endpoint(JsonNode entry) {
        String id = entry.path("id").asText();
        EndpointState state = STATES.get(entry.path("state").asText());
        Optional<InetSocketAddress> address =
                SocketAddresses.parse(entry.path("addr").asText());
        double weight = entry.path("weight").asDouble(DEFAULT_WEIGHT);
        if (id.isEmpty() || state == null || address.isEmpty() || !isValidWeight(weight)) {
            return Optional.empty();
        }
        var endpoint = new Endpoint(
                id,
                state,
                entry.path("kind").asText(null),
                entry.path("zone").asText(null),
                entry.path("cell").asInt(),
                entry.path("started_ms").asLong() * MICROS_PER_MILLI,
                weight);
        return Optional.of(new ListedEndpoint(endpoint, address.get()));
    }

    private static boolean isValidWeight(double weight) {
        return weight > 0 && Double.isFinite(weight);
    }
}
