package gaugegw.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.discovery.ListedEndpoint;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.memory.MemoryBudget;
import gaugegw.proxy.memory.MemoryLimiter;
import gaugegw.proxy.memory.MemoryUse;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import gaugegw.proxy.transport.Transport;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The memory that responses of backends hold while they are being received. */
class UpstreamMemoryTest {
    private static final long BUDGET_BYTES = 10_000;
    private static final long ONE_MINUTE_US = 60_000_000;

    private final Transport transport = Transport.sockets();
    private final Clock clock = new Clock();
    private final MemoryLimiter memory =
            new MemoryLimiter(clock::nowUs, new RateLimitedLog(), new MemoryBudget(BUDGET_BYTES, BUDGET_BYTES));
    private final UpstreamClient client = new UpstreamClient(
            clock, transport, new ConnectionLimiter(transport.loop(), 1_024), memory, ONE_MINUTE_US, ONE_MINUTE_US);
    private final BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void stopLoop() {
        transport
                .loop()
                .parent()
                .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    private void startAttempt(int port) {
        transport
                .loop()
                .submit(() -> {
                    var endpoint = new Endpoint("s0", EndpointState.READY, "m", "a", 1, 0, 1);
                    var listed =
                            new ListedEndpoint(endpoint, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                    client.applyUpdate(UpdateKind.SNAPSHOT, List.of(listed));
                    var request = new UpstreamRequest(
                            HttpMethod.GET, "/api", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
                    client.newAttempt("s0", request, ONE_MINUTE_US, () -> {}, this::attemptEnded)
                            .start();
                })
                .syncUninterruptibly();
    }

    private void attemptEnded(AttemptOutcome outcome, long latencyUs, UpstreamResponse response) {
        if (response != null) {
            response.body().release();
        }
        outcomes.add(outcome);
    }

    private <T> T onLoop(Callable<T> task) {
        return transport.loop().submit(task).syncUninterruptibly().getNow();
    }

    /** Guards against an account, with all that it refers to, that stays for each connect that fails. */
    @Test
    void failedConnectLeavesNoAccount() throws Exception {
        int closedPort;
        try (var server = new ScriptedServer()) {
            closedPort = server.port();
        }
        startAttempt(closedPort);
        assertThat(ScriptedServer.awaitNext(outcomes)).isEqualTo(AttemptOutcome.CONNECT_FAILED);
        ScriptedServer.await(() -> onLoop(memory::accountCount) == 0);
    }

    /** Guards against backends that use up the memory by long responses that they do not complete. */
    @Test
    void incompleteResponseBeyondTheBudgetFailsItsAttempt() throws Exception {
        try (var backend = new ScriptedServer()) {
            startAttempt(backend.port());
            RawConnection attempt = backend.accept();
            attempt.read();
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(20_000));
            assertThat(ScriptedServer.awaitNext(outcomes)).isEqualTo(AttemptOutcome.ERROR);
            assertThat(attempt.awaitClose()).isTrue();
            assertThat(onLoop(memory::use)).isEqualTo(MemoryUse.NONE);
        }
    }

    /** What a complete response has held is free again for others. */
    @Test
    void completeResponseHoldsNothing() throws Exception {
        try (var backend = new ScriptedServer()) {
            startAttempt(backend.port());
            RawConnection attempt = backend.accept();
            attempt.read();
            attempt.send(ScriptedServer.ok("x".repeat(5_000)));
            assertThat(ScriptedServer.awaitNext(outcomes)).isEqualTo(AttemptOutcome.SUCCESS);
            assertThat(onLoop(memory::use)).isEqualTo(MemoryUse.NONE);
        }
    }
}
