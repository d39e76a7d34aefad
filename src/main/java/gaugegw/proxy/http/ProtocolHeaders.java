package gaugegw.proxy.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The protocol's header names, and what of a message's headers goes on to the next hop. */
public final class ProtocolHeaders {
    public static final String REQUEST_ID = "x-request-id";
    public static final String REQUEST_CLASS = "x-priority-class";
    public static final String TENANT = "x-tenant-id";
    public static final String TIMEOUT = "x-timeout";
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    public static final String RETRIED = "x-retried";
    public static final String NOT_PROCESSED = "x-not-processed";

    /** These concern one connection alone (RFC 9110, 7.6.1); the content length is set afresh by each sender. */
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

    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        boolean named = from.contains(HttpHeaderNames.CONNECTION);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))
                    && !(named && from.containsValue(HttpHeaderNames.CONNECTION, name, true))) {
                to.add(name, header.getValue());
            }
        }
    }
}
