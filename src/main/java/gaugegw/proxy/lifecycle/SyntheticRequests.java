package gaugegw.proxy.lifecycle;

import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.Tenant;
import gaugegw.proxy.http.ProtocolHeaders;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Creates the requests of a warm-up, which cycle through the request classes and tenants. */
final class SyntheticRequests {
    /** The body of requests and responses, of a typical length. Must not be modified. */
    static final byte[] BODY = "x".repeat(1_000).getBytes(StandardCharsets.US_ASCII);

    private static final long MICROS_PER_MILLI = 1_000;

    private final List<RequestClass> classes;
    private final List<Tenant> tenants;

    SyntheticRequests(BalancerSettings settings) {
        classes = settings.requestClasses();
        tenants = settings.tenants();
    }

    /**
     * Creates a request, which the caller writes or releases.
     *
     * @param number a number that no other request of the warm-up has
     */
    FullHttpRequest create(int number) {
        RequestClass requestClass = classes.get(number % classes.size());
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        var request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                idempotent ? HttpMethod.GET : HttpMethod.POST,
                "/api?k=" + number,
                idempotent ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
        HttpHeaders headers = request.headers();
        String id = Integer.toHexString(number);
        headers.set("host", "warm-up")
                .set(ProtocolHeaders.REQUEST_ID, id)
                .set(ProtocolHeaders.REQUEST_CLASS, requestClass.name())
                .set(ProtocolHeaders.TIMEOUT, requestClass.deadlineUs() / MICROS_PER_MILLI + "m");
        if (!tenants.isEmpty()) {
            headers.set(
                    ProtocolHeaders.TENANT, tenants.get(number % tenants.size()).name());
        }
        if (!idempotent) {
            HttpUtil.setContentLength(request, BODY.length);
        }
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
            headers.set(ProtocolHeaders.IDEMPOTENCY_KEY, id);
        }
        return request;
    }
}
