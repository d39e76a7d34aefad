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

/**
 * A list of backends in the form in which discovery tells it.
 *
 * @param version the version that the list brings a proxy to; {@link #NO_VERSION} where it states none
 * @param full whether it names all backends, or only those that have changed
 * @param endpoints the entries that can be read, in their order
 */
record EndpointList(long version, boolean full, List<ListedEndpoint> endpoints) {
    /** Stands for a list that this proxy does not have. */
    static final long NO_VERSION = -1;

    private static final int LOGGED_CHARACTERS = 200;
    private static final double DEFAULT_WEIGHT = 1;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final Map<String, EndpointState> STATES = Map.of(
            "ready", EndpointState.READY,
            "draining", EndpointState.DRAINING,
            "gone", EndpointState.GONE);

    /** A document that is no list; the message says why. */
    static final class MalformedListException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedListException(String message) {
            super(message);
        }
    }

    /**
     * Reads an answer of discovery. An entry that makes no sense is logged and left out: it does not cost the others.
     *
     * @throws MalformedListException if the document as a whole can't be read
     */
    static EndpointList parse(InputStream document, RateLimitedLog log) throws MalformedListException {
        JsonNode list;
        try {
            list = JsonTrees.read(document);
        } catch (IOException e) {
            throw new MalformedListException("the answer is not JSON");
        }
        JsonNode version = list.path("version");
        boolean sound = version.canConvertToLong()
                && version.asLong() >= 0
                && list.path("full").isBoolean()
                && list.path("servers").isArray();
        if (!sound) {
            throw new MalformedListException("the answer is no list");
        }
        return new EndpointList(version.asLong(), list.path("full").asBoolean(), endpoints(list.path("servers"), log));
    }

    /** Reads the list that a proxy had before its restart; a missing node is an empty list without a version. */
    static EndpointList cached(JsonNode list, RateLimitedLog log) {
        return new EndpointList(list.path("version").asLong(NO_VERSION), true, endpoints(list.path("servers"), log));
    }

    private static List<ListedEndpoint> endpoints(JsonNode entries, RateLimitedLog log) {
        var endpoints = new ArrayList<ListedEndpoint>(entries.size());
        for (JsonNode entry : entries) {
            ListedEndpoint endpoint = endpoint(entry);
            if (endpoint == null) {
                log.line("discovery: a malformed entry is left out: " + shortened(entry.toString()));
            } else {
                endpoints.add(endpoint);
            }
        }
        return endpoints;
    }

    private static String shortened(String text) {
        return text.length() <= LOGGED_CHARACTERS ? text : text.substring(0, LOGGED_CHARACTERS) + "...";
    }

    private static ListedEndpoint endpoint(JsonNode entry) {
        EndpointState state = STATES.get(entry.path("state").asText());
        InetSocketAddress address =
                SocketAddresses.parse(entry.path("addr").asText()).orElse(null);
        String id = entry.path("id").asText();
        double weight = entry.path("weight").asDouble(DEFAULT_WEIGHT);
        if (state == null || address == null || id.isEmpty() || !(weight > 0) || Double.isInfinite(weight)) {
            return null;
        }
        return new ListedEndpoint(
                new Endpoint(
                        id,
                        state,
                        entry.path("kind").asText(null),
                        entry.path("zone").asText(null),
                        entry.path("cell").asInt(),
                        entry.path("started_ms").asLong() * MICROS_PER_MILLI,
                        weight),
                address);
    }
}
