package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.util.List;
import java.util.regex.Matcher;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Validation of requests: invalid ones are rejected before they are dispatched. */
class RequestValidationTest {
    private static final ProxyFixture.StubLoadBalancer NO_ACTIONS = (event, actions) -> {};

    /**
     * An invalid request must not reach the load balancer or a backend. Its connection must be closed, or a faulty
     * client could send the request again as fast as it is rejected.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "X-Priority-Class: read|X-Priority-Class: write|400",
                "X-Priority-Class: read|X-Other: read|400",
                "X-Priority-Class: read|X-Priority-Class: pay|405",
                "X-Request-ID: r1|X-Other: r1|400",
                "X-Tenant-Id: acme|X-Tenant-Id: nobody|400",
                "X-Tenant-Id: acme|X-Other: acme|400",
                "X-Timeout: 1900m|X-Timeout: soon|400",
                "X-Timeout: 1900m|X-Timeout: 0m|400",
                "X-Timeout: 1900m|X-Timeout: -5m|400",
                "X-Timeout: 1900m|X-Timeout: 123456789m|400",
                "X-Timeout: 1900m|X-Other: 1900m|400",
                "GET /api?k=u1|GET /apis|404",
                "GET /api?k=u1|GET /api?k=%zz|400",
                "GET /api?k=u1|PUT /api|405",
                "GET /api?k=u1 HTTP/1.1|NONSENSE|400"
            })
    void rejectsInvalidRequests(String valid, String invalid, int status) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            assertThat(client.send(ProxyFixture.get("r1").replace(valid, invalid))
                            .read()
                            .status())
                    .isEqualTo(status);
            assertThat(client.awaitClose()).isTrue();
            backend.respondToAll(ScriptedServer.ok("x"));
            assertThat(proxy.connectClient()
                            .send(ProxyFixture.get("good"))
                            .read()
                            .status())
                    .isEqualTo(200);
            assertThat(proxy.awaitEvent(RequestArrived.class).requestId()).isEqualTo("good");
        }
    }

    /**
     * The proxy and a backend may disagree on where such a request ends. A client could then smuggle a second request
     * to the backend in the body of the first.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 40\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked\r\nContent-Length: 3",
                "Content-Length: 3\r\nContent-Length: 4",
                "Content-Length: 3\r\nContent-Length: 3",
                "Content-Length: -3",
                "Content-Length: three",
                "Content-Length: +3",
                "Content-Length: 3, 3",
                "Content-Length: 99999999999999999999",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: identity",
                "Transfer-Encoding : chunked",
                "a line with no colon",
                "nocolon"
            })
    void rejectsAmbiguousFraming(String framingHeaders) throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var client = proxy.connectClient()) {
            String head = ProxyFixture.post("r1", "").replace("Content-Length: 0", framingHeaders);
            assertThat(client.send(head + "0\r\n\r\n" + ProxyFixture.get("hidden"))
                            .read()
                            .status())
                    .isBetween(400, 499);
            assertThat(client.awaitClose()).isTrue();
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }

    /** HTTP/1.0 has no transfer codings, so the end of such a request is ambiguous too. */
    @Test
    void rejectsChunkedBodyOfHttp10() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.post("r1", "")
                            .replace("HTTP/1.1", "HTTP/1.0")
                            .replace("Content-Length: 0", "Transfer-Encoding: chunked")
                    + "0\r\n\r\n");
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.awaitClose()).isTrue();
        }
    }

    /** Control characters in the request target could end the request line that the proxy sends to the backend. */
    @Test
    void rejectsControlCharactersInTheTarget() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend)) {
            for (String target : List.of("/api?k=a\rb", "/api?k=a\0b", "/api?k=a\u007fb")) {
                try (var client = proxy.connectClient()) {
                    assertThat(client.send(ProxyFixture.get("r1").replace("/api?k=u1", target))
                                    .read()
                                    .status())
                            .isEqualTo(400);
                }
            }
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }

    /**
     * A client writes its key into the target without percent-encoding. Such bytes were encoded once more on the way, so
     * the backend executed a request that no client had sent.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/api?k=se\u00c3\u00b1al",
                "/api?k=se\u00f1al",
                "/api?\u00c3\u00b1=u1",
                "/api/\u00c3\u00b1?k=u1",
                "/api?k=u\u0080",
                "/api?k=u\u00ff",
                "/ready?k=\u00c3\u00b1"
            })
    void rejectsBytesOutsideAsciiInTheTarget(String target) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend)) {
            backend.respondToAll(ScriptedServer.ok("x"));
            for (String request : List.of(ProxyFixture.get("r1"), ProxyFixture.post("r2", "body"))) {
                try (var client = proxy.connectClient()) {
                    RawConnection.Message response = client.send(
                                    request.replaceFirst("/api\\S*", Matcher.quoteReplacement(target)))
                            .read();
                    assertThat(response.status()).isEqualTo(400);
                    assertThat(response.body()).contains("percent-encoded");
                    assertThat(client.awaitClose()).isTrue();
                }
            }
            assertThat(proxy.events).noneMatch(RequestArrived.class::isInstance);
        }
    }

    /** Without an idempotency key, the backend can't recognize a repeated request. */
    @Test
    void rejectsMissingIdempotencyKey() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var client = proxy.connectClient()) {
            assertThat(client.send(ProxyFixture.post("r1", "x").replace("Idempotency-Key", "X-Other"))
                            .read()
                            .status())
                    .isEqualTo(400);
        }
    }

    /**
     * Two requests with the same id can't be told apart, so the second one is rejected while the first one is in
     * flight.
     */
    @Test
    void rejectsIdThatIsInFlight() throws Exception {
        try (var proxy = new ProxyFixture(NO_ACTIONS);
                var firstClient = proxy.connectClient();
                var secondClient = proxy.connectClient()) {
            firstClient.send(ProxyFixture.get("r1"));
            proxy.awaitEvent(RequestArrived.class);
            assertThat(secondClient.send(ProxyFixture.get("r1")).read().status())
                    .isEqualTo(409);
        }
    }
}
