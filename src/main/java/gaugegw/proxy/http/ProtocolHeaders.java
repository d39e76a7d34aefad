package gaugegw.proxy.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The protocol's header names, and which headers of a message are forwarded to the next hop. The names are in lower
 * case; HTTP compares them without regard to case.
 */
public final class ProtocolHeaders {
    /** Identifies a request; fresh on every one, a retry by the client included. */
    public static final String REQUEST_ID = "x-request-id";
    /** The name of the request class, as in the settings. */
    public static final String REQUEST_CLASS = "x-priority-class";
    /** The name of the tenant, as in the settings. */
    public static final String TENANT = "x-tenant-id";
    /**
     * How long the sender waits for the response: a number and {@code m} for milliseconds or {@code u} for
     * microseconds.
     */
    public static final String TIMEOUT = "x-timeout";
    /** Lets backends discard a repeated request; its value is opaque to the proxy. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    /** {@code 1} on a retry by the client. */
    public static final String RETRIED = "x-retried";
    /** {@code 1} on a response whose backend has certainly not executed the request. */
    public static final String NOT_PROCESSED = "x-not-processed";

    /** Headers that concern one connection alone (RFC 9110, 7.6.1); each sender sets the content length itself. */
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

    /** Adds all end-to-end headers of a message to another: neither hop-by-hop nor named by {@code Connection}. */
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
