package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.ArrayList;
import java.util.List;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A faulty backend sends a copy of its response some milliseconds later, on the same connection. */
class LateResponseCopyTest {
    private static final long BUDGET_BYTES = 1_000_000;
    /** More than the exchanges in which a kernel acknowledges at once because the connection is new. */
    private static final int REUSES = 40;

    private static final String REJECTION =
            ScriptedServer.response("503 Service Unavailable", "", "X-Not-Processed: 1");

    /**
     * Guards against requests that are executed twice: a copy of a rejection was taken for the response to the next
     * request on the connection, as if the backend had not executed that request, which was then sent to another one.
     */
    @ParameterizedTest
    @ValueSource(longs = {10, 12, 28, 50, 200})
    void copyOfARejectionIsNotTakenForTheNextResponse(long timeSinceRejectionMs) throws Exception {
        try (var backend = new ScriptedServer();
                var upstream = new UpstreamClientFixture(BUDGET_BYTES)) {
            RawConnection rejecting = acceptAttempt(backend, upstream);
            rejecting.send(REJECTION);
            assertThat(upstream.awaitOutcome()).isEqualTo(AttemptOutcome.REJECTED);

            upstream.advanceClockMs(timeSinceRejectionMs);
            RawConnection next = acceptAttempt(backend, upstream);
            rejecting.send(REJECTION);
            assertThat(rejecting.awaitClose()).isTrue();
            next.send(ScriptedServer.ok("x"));
            assertThat(upstream.awaitOutcome()).isEqualTo(AttemptOutcome.SUCCESS);
        }
    }

    /** A backend that rejects requests must not need a new connection for each of them. */
    @Test
    void connectionIsReusedOnceNoCopyOfARejectionCanArrive() throws Exception {
        try (var backend = new ScriptedServer();
                var upstream = new UpstreamClientFixture(BUDGET_BYTES)) {
            RawConnection connection = acceptAttempt(backend, upstream);
            for (int i = 0; i < 3; i++) {
                connection.send(REJECTION);
                assertThat(upstream.awaitOutcome()).isEqualTo(AttemptOutcome.REJECTED);
                upstream.advanceClockMs(1_000);
                upstream.startAttempt(backend.port());
                assertThat(connection.read().firstLine()).isEqualTo("GET /api HTTP/1.1");
            }
        }
    }

    /**
     * Guards against clients that are served with the response to another request: the backend's kernel held a copy back
     * until the response was acknowledged, which happened only with the next request, so no check before it found the copy.
     */
    @Test
    void responsesAreAcknowledgedBeforeTheirConnectionIsReused() throws Exception {
        var acknowledgesAtOnce = new ArrayList<Boolean>();
        var transport = new ObservedTransport(idle -> acknowledgesAtOnce.add(
                idle.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_QUICKACK))));
        try (var backend = new ScriptedServer();
                var upstream = new UpstreamClientFixture(BUDGET_BYTES, transport)) {
            RawConnection connection = acceptAttempt(backend, upstream);
            for (int i = 0; i < REUSES; i++) {
                connection.send(ScriptedServer.ok("x"));
                assertThat(upstream.awaitOutcome()).isEqualTo(AttemptOutcome.SUCCESS);
                upstream.advanceClockMs(10);
                upstream.startAttempt(backend.port());
                connection.read();
            }
            assertThat(upstream.onLoop(() -> List.copyOf(acknowledgesAtOnce)))
                    .hasSize(REUSES)
                    .doesNotContain(false);
        }
    }

    /** Starts an attempt and returns the new connection on which its request has been read. */
    private static RawConnection acceptAttempt(ScriptedServer backend, UpstreamClientFixture upstream)
            throws Exception {
        upstream.startAttempt(backend.port());
        RawConnection attempt = backend.accept();
        attempt.read();
        return attempt;
    }
}
