package gaugegw.proxy.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The names of the headers that the proxy and its clients and backends use, and the selection of the headers that are
 * forwarded to the next hop. The names are in lower case; HTTP header names are case-insensitive.
 */
public final class ProtocolHeaders {
    /** The unique id of a request; a retry by the client has a new one. */
    public static final String REQUEST_ID = "x-request-id";
    /** The name of the request class, as in the settings. */
    public static final String REQUEST_CLASS = "x-priority-class";
    /** The name of the tenant, as in the settings. */
    public static final String TENANT = "x-tenant-id";
    /**
     * How long the sender waits for the response: a number followed by {@code m} for milliseconds or {@code u} for
     * microseconds.
     */
    public static final String TIMEOUT = "x-timeout";
    /** Lets a backend recognize and discard a repeated request; the proxy does not interpret its value. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    /** {@code 1} on a request that is a retry by the client. */
    public static final String RETRIED = "x-retried";
    /** {@code 1} on a response by which the backend states that it has not executed the request. */
    public static final String NOT_PROCESSED = "x-not-processed";

    /**
     * Headers that are not forwarded: those that apply to a single connection (RFC 9110, section 7.6.1), and
     * Content-Length, which each sender sets itself.
     */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "proxy-authenticate",
            "proxy-authorization",
            "content-length",
            "expect");

    private ProtocolHeaders() {}

    /** Copies a message's headers to another, except hop-by-hop headers and those that {@code Connection} names. */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        boolean hasConnection = from.contains(HttpHeaderNames.CONNECTION);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            boolean namedByConnection = hasConnection && from.containsValue(HttpHeaderNames.CONNECTION, name, true);
            if (!namedByConnection && !HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))) {
                to.add(name, header.getValue());
            }
        }
    }
}
