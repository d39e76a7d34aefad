package gaugegw.proxy.http;

/** Limits on the size of HTTP messages. */
public final class HttpLimits {
    /** The maximum size of the body of a request or a response, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private HttpLimits() {}
}
