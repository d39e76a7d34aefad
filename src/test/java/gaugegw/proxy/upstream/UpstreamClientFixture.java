package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.discovery.ListedEndpoint;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.memory.MemoryBudget;
import gaugegw.proxy.memory.MemoryLimiter;
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
import java.util.concurrent.atomic.AtomicLong;

/** An {@link UpstreamClient} over sockets, with one endpoint and with a clock that only the test advances. */
final class UpstreamClientFixture implements AutoCloseable {
    private static final long ONE_MINUTE_US = 60_000_000;
    private static final int MAX_DESCRIPTORS = 1_024;

    /** Limits the memory that incomplete responses hold. */
    final MemoryLimiter memory;

    private final Transport transport;
    private final AtomicLong nowNs = new AtomicLong();
    private final UpstreamClient client;
    private final BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();

    /**
     * Creates a client without endpoints.
     *
     * @param budgetBytes the budget for the memory of incomplete messages, on the heap and in direct memory each
     */
    UpstreamClientFixture(long budgetBytes) {
        this(budgetBytes, Transport.sockets());
    }

    /** Creates a client without endpoints; see {@link #UpstreamClientFixture(long)}. */
    UpstreamClientFixture(long budgetBytes, Transport transport) {
        this.transport = transport;
        var clock = new Clock(nowNs::get);
        memory = new MemoryLimiter(clock::nowUs, new RateLimitedLog(), new MemoryBudget(budgetBytes, budgetBytes));
        var limiter = new ConnectionLimiter(transport.loop(), MAX_DESCRIPTORS);
        client = new UpstreamClient(clock, transport, limiter, memory, ONE_MINUTE_US, ONE_MINUTE_US);
    }

    void advanceClockMs(long durationMs) {
        nowNs.addAndGet(TimeUnit.MILLISECONDS.toNanos(durationMs));
    }

    /** Starts an attempt to the endpoint, which is at a port of the loopback address. */
    void startAttempt(int port) {
        onLoop(() -> {
            var endpoint = new Endpoint("s0", EndpointState.READY, "m", "a", 1, 0, 1);
            var listed = new ListedEndpoint(endpoint, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            client.applyUpdate(UpdateKind.SNAPSHOT, List.of(listed));
            var request = new UpstreamRequest(HttpMethod.GET, "/api", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
            client.newAttempt("s0", request, ONE_MINUTE_US, () -> {}, this::attemptEnded)
                    .start();
            return null;
        });
    }

    private void attemptEnded(AttemptOutcome outcome, long latencyUs, UpstreamResponse response) {
        if (response != null) {
            response.body().release();
        }
        outcomes.add(outcome);
    }

    /** Waits for the outcome of the attempt that ends next. */
    AttemptOutcome awaitOutcome() throws InterruptedException {
        return ScriptedServer.awaitNext(outcomes);
    }

    /** Runs a task on the event loop and returns its result. */
    <T> T onLoop(Callable<T> task) {
        return transport.loop().submit(task).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        transport
                .loop()
                .parent()
                .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }
}
