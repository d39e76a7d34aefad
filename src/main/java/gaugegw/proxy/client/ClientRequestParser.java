package gaugegw.proxy.client;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.Tenant;
import gaugegw.proxy.dispatch.ClientRequest;
import gaugegw.proxy.http.ProtocolHeaders;
import gaugegw.proxy.upstream.UpstreamRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Validates client requests against the protocol and the settings, and parses them. Used on the event loop only. */
final class ClientRequestParser {
    private static final String API_PATH = "/api";
    private static final String AFFINITY_KEY_PARAMETER = "k";
    private static final String RETRIED_VALUE = "1";
    /** A number and its unit: {@code m} for milliseconds, {@code u} for microseconds. */
    private static final Pattern TIMEOUT_FORMAT = Pattern.compile("(\\d{1,8})([mu])");
    /**
     * Maximum time by which the proxy's deadline is before the end of the client's timeout, in microseconds. The
     * response needs this time to reach the client, and the proxy may itself be delayed.
     */
    private static final long MAX_RESPONSE_MARGIN_US = 8_000;
    /**
     * The margin is at most the client's timeout divided by this, so that a request with a short timeout is still
     * served.
     */
    private static final long RESPONSE_MARGIN_DIVISOR = 10;

    private final HeaderNames<RequestClass> requestClasses;
    private final HeaderNames<Tenant> tenants;
    private final Predicate<String> isIdInUse;

    /**
     * Creates a parser.
     *
     * @param isIdInUse returns whether a request with a given id is in flight or must not be executed again
     */
    ClientRequestParser(BalancerSettings settings, Predicate<String> isIdInUse) {
        this.requestClasses = new HeaderNames<>(settings.requestClasses(), RequestClass::name);
        this.tenants = new HeaderNames<>(settings.tenants(), Tenant::name);
        this.isIdInUse = isIdInUse;
    }

    /**
     * Validates and parses a request.
     *
     * @param request the complete request; the result refers to its body without retaining it
     * @param uri the decoder of the request's target
     * @param firstByteAtUs when the first byte of the request was received, on the proxy's clock
     * @throws InvalidRequestException if the request can't be forwarded
     * @throws IllegalArgumentException if the target is malformed
     */
    ClientRequest parse(FullHttpRequest request, QueryStringDecoder uri, long firstByteAtUs)
            throws InvalidRequestException {
        requireApiPath(uri);
        HttpHeaders headers = request.headers();
        RequestClass requestClass = requireNamed(requestClasses, headers, ProtocolHeaders.REQUEST_CLASS);
        checkIdempotency(request, requestClass.idempotency());
        String tenant = tenant(headers);
        String requestId = requireHeader(headers, ProtocolHeaders.REQUEST_ID);
        if (isIdInUse.test(requestId)) {
            throw new InvalidRequestException(
                    HttpResponseStatus.CONFLICT, "a request with this id is in flight or may have been executed");
        }
        List<String> keys = uri.parameters().get(AFFINITY_KEY_PARAMETER);
        return new ClientRequest(
                requestId,
                requestClass.name(),
                tenant,
                keys == null ? null : keys.get(0),
                RETRIED_VALUE.equals(headers.get(ProtocolHeaders.RETRIED)),
                deadlineAtUs(headers, firstByteAtUs),
                new UpstreamRequest(request.method(), request.uri(), headers, request.content()));
    }

    /**
     * Returns when a response must be sent at the latest so that the client still waits for it, on the proxy's clock.
     *
     * @param firstByteAtUs when the first byte of the request was received, on the proxy's clock
     * @throws InvalidRequestException if the headers have no valid timeout
     */
    static long deadlineAtUs(HttpHeaders headers, long firstByteAtUs) throws InvalidRequestException {
        long timeoutUs = timeoutUs(requireHeader(headers, ProtocolHeaders.TIMEOUT));
        return firstByteAtUs + timeoutUs - responseMarginUs(timeoutUs);
    }

    private static void requireApiPath(QueryStringDecoder uri) throws InvalidRequestException {
        String path = uri.rawPath();
        if (!path.equals(API_PATH) && !path.startsWith(API_PATH + "/")) {
            throw new InvalidRequestException(HttpResponseStatus.NOT_FOUND, "no such path");
        }
    }

    /**
     * Checks that the request has the method that its class requires, GET if the class is idempotent and POST otherwise,
     * and that it has an idempotency key if its class needs one.
     */
    private static void checkIdempotency(FullHttpRequest request, Idempotency idempotency)
            throws InvalidRequestException {
        HttpMethod required = idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        if (!request.method().equals(required)) {
            throw new InvalidRequestException(
                    HttpResponseStatus.METHOD_NOT_ALLOWED, "this request class requires the method " + required);
        }
        if (idempotency == Idempotency.IDEMPOTENT_WITH_KEY) {
            requireHeader(request.headers(), ProtocolHeaders.IDEMPOTENCY_KEY);
        }
    }

    /** Returns the name of the request's tenant, or null if the settings have no tenants. */
    private String tenant(HttpHeaders headers) throws InvalidRequestException {
        return tenants.isEmpty()
                ? null
                : requireNamed(tenants, headers, ProtocolHeaders.TENANT).name();
    }

    /** Returns the entry of the settings that a header names. */
    private static <T> T requireNamed(HeaderNames<T> entries, HttpHeaders headers, String header)
            throws InvalidRequestException {
        T named = entries.get(requireHeader(headers, header));
        if (named == null) {
            throw badRequest("unknown " + header);
        }
        return named;
    }

    private static String requireHeader(HttpHeaders headers, String name) throws InvalidRequestException {
        String value = headers.get(name);
        if (value == null || value.isEmpty()) {
            throw badRequest("missing " + name);
        }
        return value;
    }

    private static long timeoutUs(String text) throws InvalidRequestException {
        Matcher timeout = TIMEOUT_FORMAT.matcher(text);
        if (!timeout.matches() || Long.parseLong(timeout.group(1)) == 0) {
            throw badRequest("bad " + ProtocolHeaders.TIMEOUT);
        }
        long microsPerUnit = timeout.group(2).equals("m") ? 1_000 : 1;
        return Long.parseLong(timeout.group(1)) * microsPerUnit;
    }

    private static long responseMarginUs(long timeoutUs) {
        return Math.min(MAX_RESPONSE_MARGIN_US, timeoutUs / RESPONSE_MARGIN_DIVISOR);
    }

    private static InvalidRequestException badRequest(String message) {
        return new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, message);
    }
}
