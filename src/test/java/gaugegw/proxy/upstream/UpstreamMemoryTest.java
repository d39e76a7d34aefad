package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.proxy.memory.MemoryUse;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The memory that responses of backends hold while they are being received. */
class UpstreamMemoryTest {
    private static final long BUDGET_BYTES = 10_000;

    private final UpstreamClientFixture upstream = new UpstreamClientFixture(BUDGET_BYTES);

    @AfterEach
    void closeUpstream() {
        upstream.close();
    }

    /** Guards against an account, with all that it refers to, that stays for each connect that fails. */
    @Test
    void failedConnectLeavesNoAccount() throws Exception {
        int closedPort;
        try (var server = new ScriptedServer()) {
            closedPort = server.port();
        }
        upstream.startAttempt(closedPort);
        assertThat(upstream.awaitOutcome()).isEqualTo(AttemptOutcome.CONNECT_FAILED);
        ScriptedServer.await(() -> upstream.onLoop(upstream.memory::accountCount) == 0);
    }

    /** Guards against backends that use up the memory by long responses that they do not complete. */
    @Test
    void incompleteResponseBeyondTheBudgetFailsItsAttempt() throws Exception {
        try (var backend = new ScriptedServer()) {
            upstream.startAttempt(backend.port());
            RawConnection attempt = backend.accept();
            attempt.read();
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(20_000));
            assertThat(upstream.awaitOutcome()).isEqualTo(AttemptOutcome.ERROR);
            assertThat(attempt.awaitClose()).isTrue();
            assertThat(upstream.onLoop(upstream.memory::use)).isEqualTo(MemoryUse.NONE);
        }
    }

    /** What a complete response has held is free again for others. */
    @Test
    void completeResponseHoldsNothing() throws Exception {
        try (var backend = new ScriptedServer()) {
            upstream.startAttempt(backend.port());
            RawConnection attempt = backend.accept();
            attempt.read();
            attempt.send(ScriptedServer.ok("x".repeat(5_000)));
            assertThat(upstream.awaitOutcome()).isEqualTo(AttemptOutcome.SUCCESS);
            assertThat(upstream.onLoop(upstream.memory::use)).isEqualTo(MemoryUse.NONE);
        }
    }
}
