package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The outcome of an attempt. The load balancer retries a request that is not idempotent only if the outcome proves that
 * the backend has not executed it, so such an outcome must be reported only if that is certain.
 */
class UpstreamAttemptOutcomeTest {
    /**
     * Only a 503 or 504 with {@code X-Not-Processed: 1} proves that the request was not executed. If any other error
     * were classified as a rejection, a retry could execute the request twice.
     */
    @ParameterizedTest
    @CsvSource({
        "503 Unavailable,X-Not-Processed: 1,REJECTED",
        "504 Late,X-Not-Processed: 1,REJECTED",
        "503 Unavailable,X-Not-Processed: 0,ERROR",
        "504 Late,X-Other: 1,ERROR",
        "500 Error,X-Not-Processed: 1,ERROR",
        "404 Unknown,X-Other: 1,ERROR",
        "200 OK,X-Not-Processed: 1,SUCCESS"
    })
    void classifiesResponsesByStatusAndHeader(String status, String header, AttemptOutcome outcome) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.response(status, "x", header));
            client.send(ProxyFixture.get("r1"));
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(outcome);
            assertThat(client.read().status()).isEqualTo(outcome == AttemptOutcome.SUCCESS ? 200 : 502);
        }
    }

    /**
     * A backend receives the complete request, and its connection is closed before the response is complete. The
     * request may have been executed, so the outcome must be a reset and not a connect failure.
     */
    @ParameterizedTest
    @CsvSource({
        "''",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n'"
    })
    void connectionClosedAfterCompleteRequestIsReset(String partialResponse) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.get("r1"));
            try (RawConnection attempt = backend.accept()) {
                attempt.read();
                attempt.send(partialResponse);
            }
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.RESET);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /**
     * A response without a length is complete when the backend closes its connection normally. If a reset were taken
     * for such a close, the client would get a truncated response.
     */
    @ParameterizedTest
    @CsvSource({"false,SUCCESS,200", "true,RESET,502"})
    void responseWithoutLengthIsCompleteOnlyIfConnectionIsNotReset(boolean reset, AttemptOutcome outcome, int status)
            throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.get("r1"));
            try (RawConnection attempt = backend.accept()) {
                attempt.read();
                attempt.send("HTTP/1.1 200 OK\r\n\r\nhalf");
                if (reset) {
                    attempt.socket.setSoLinger(true, 0);
                }
            }
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(outcome);
            assertThat(client.read().status()).isEqualTo(status);
        }
    }

    /** The backend refuses the connection. No byte was sent, so a retry is safe. */
    @Test
    void refusedConnectionIsConnectFailure() throws Exception {
        var backend = new ScriptedServer();
        backend.close();
        try (var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.get("r1"));
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.CONNECT_FAILED);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /**
     * A malformed response is received, so the request may have been executed. If the connection were reused, the
     * response after the malformed one would be served to another request.
     */
    @Test
    void malformedResponseIsErrorAndClosesConnection() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            RawConnection attempt = backend.sendAndAcceptAttempt(client, "r1");
            attempt.send("rubbish\r\n\r\n" + ScriptedServer.ok("not asked for"));
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.ERROR);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(attempt.awaitClose()).isTrue();
        }
    }

    /**
     * The backend sends a response that is invalid or incomplete. If the attempt ended only at its timeout, there would
     * be no time left for a retry.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 0x1\r\n\r\nx",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\nzz\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
                "HTTP/1.1 101 Switching Protocols\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                "HTTP/1.1 200 OK\r\nX-Pad: p\r\n",
                "\0noise without end"
            })
    void invalidResponseIsErrorBeforeTimeout(String response) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            RawConnection attempt = backend.sendAndAcceptAttempt(client, "r1");
            attempt.send(response);
            AttemptEnded ended = proxy.awaitEvent(AttemptEnded.class);
            assertThat(ended.outcome()).isEqualTo(AttemptOutcome.ERROR);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(attempt.awaitClose()).isTrue();
        }
    }

    /** A faulty backend sends interim responses or headers without end. Without a limit they would fill the memory. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 103 Early Hints\r\n\r\n", "X-Pad: pppppppp\r\n"})
    void endlessResponseIsAbortedAtSizeLimit(String repeated) throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            RawConnection attempt = backend.sendAndAcceptAttempt(client, "r1");
            // In the background, as the proxy may close the connection before all of this is written.
            ScriptedServer.runInBackground(() ->
                    attempt.send((repeated.startsWith("HTTP") ? "" : "HTTP/1.1 200 OK\r\n") + repeated.repeat(10_000)));
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.ERROR);
        }
    }

    /** A response body is longer than the maximum of 64 KiB: the attempt must end with an error. */
    @Test
    void responseBodyOverSizeLimitIsError() throws Exception {
        try (var backend = new ScriptedServer();
                var proxy = new ProxyFixture(ProxyFixture.singleAttemptTo("s0"), backend);
                var client = proxy.connectClient()) {
            backend.respondToAll(ScriptedServer.ok("x".repeat(70_000)));
            client.send(ProxyFixture.get("r1"));
            assertThat(proxy.awaitEvent(AttemptEnded.class).outcome()).isEqualTo(AttemptOutcome.ERROR);
        }
    }

    /**
     * An attempt times out and is retried on another backend. If its connection were still open then, two attempts of
     * the same request would be in flight.
     */
    @Test
    void timeoutClosesConnectionBeforeRetry() throws Exception {
        try (var slow = new ScriptedServer();
                var other = new ScriptedServer();
                var proxy = new ProxyFixture(
                        (event, actions) -> {
                            if (event instanceof RequestArrived a) {
                                actions.accept(new StartAttempt(a.requestId(), "s0", 50_000));
                            } else if (event instanceof AttemptEnded e && e.outcome() == AttemptOutcome.TIMEOUT) {
                                actions.accept(new StartAttempt(e.requestId(), "s1", 0));
                            }
                        },
                        slow,
                        other);
                var client = proxy.connectClient()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection first = slow.accept();
            first.read();
            RawConnection second = other.accept();
            second.read();
            assertThat(first.awaitClose()).isTrue();
            second.send(ScriptedServer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
        }
    }
}
