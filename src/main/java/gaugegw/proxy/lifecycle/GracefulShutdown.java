package gaugegw.proxy.lifecycle;

import gaugegw.proxy.client.Frontend;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.PeriodicTask;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Drains a proxy before its process ends: all requests in flight are answered, and clients reconnect to another proxy.
 * Clients keep their connections for most of the drain, because the proxy that they would reconnect to may itself have
 * just started.
 *
 * <p>The steps run on the event loop, at the times that {@link DrainSchedule} sets:
 *
 * <ol>
 *   <li><b>fail readiness checks</b>, so that no new clients are directed to this proxy;
 *   <li><b>stop accepting</b> connections, and start to check whether all clients have disconnected;
 *   <li><b>close after responses</b>: a connection on which the client still sends requests is closed with a response;
 *   <li><b>close idle</b> connections, on which the client sends nothing;
 *   <li><b>fail the remaining requests</b>, so that none is left without a response when the process ends.
 * </ol>
 */
final class GracefulShutdown {
    /** Interval between two checks whether all clients have disconnected, in microseconds. */
    private static final long CHECK_INTERVAL_US = 10_000;

    /** Maximum wait for the last log line, in milliseconds: a busy event loop must not delay the end of the process. */
    private static final long LAST_LOG_LINE_TIMEOUT_MS = 10;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final ProxyConfig config;
    private final Frontend frontend;
    private final RequestDispatcher dispatcher;
    private final Runnable logCounters;
    private final CountDownLatch clientsDisconnected = new CountDownLatch(1);
    /** Written by the thread that drains the proxy, read by the thread that starts it. */
    private volatile boolean begun;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param logCounters called on the event loop at the end of the drain
     */
    GracefulShutdown(
            EventLoop loop,
            RateLimitedLog log,
            ProxyConfig config,
            Frontend frontend,
            RequestDispatcher dispatcher,
            Runnable logCounters) {
        this.loop = loop;
        this.log = log;
        this.config = config;
        this.frontend = frontend;
        this.dispatcher = dispatcher;
        this.logCounters = logCounters;
    }

    /**
     * Drains the proxy until no client is connected or the time to exit has come. Must not be called on the event loop.
     */
    void run() {
        begun = true;
        DrainSchedule schedule = DrainSchedule.of(config.settings());
        loop.execute(this::failReadinessChecks);
        runAfter(schedule.stopAcceptingMs(), this::stopAccepting);
        runAfter(schedule.closeAfterResponsesMs(), frontend::closeAfterResponses);
        runAfter(schedule.closeIdleMs(), frontend::closeIdleConnections);
        runAfter(schedule.failRemainingMs(), dispatcher::failAll);
        awaitDisconnects(schedule.exitMs());
    }

    /** Returns whether the drain has begun. May be called on any thread. */
    boolean hasBegun() {
        return begun;
    }

    private void runAfter(long delayMs, Runnable step) {
        loop.schedule(step, delayMs, TimeUnit.MILLISECONDS);
    }

    private void failReadinessChecks() {
        assert loop.inEventLoop();
        log.write(config.name() + ": draining, readiness checks fail from now on");
        frontend.reportNotReady();
    }

    private void stopAccepting() {
        assert loop.inEventLoop();
        frontend.stopListening();
        PeriodicTask.start(loop, CHECK_INTERVAL_US, this::checkConnectedClients, this::checkFailed);
    }

    private void checkConnectedClients() {
        assert loop.inEventLoop();
        if (frontend.connectedClients() == 0) {
            clientsDisconnected.countDown();
        }
    }

    private void checkFailed(Throwable failure) {
        log.writeException(
                config.name() + ": could not check whether all clients have disconnected, checking again", failure);
    }

    private void awaitDisconnects(long timeoutMs) {
        try {
            boolean allDisconnected = clientsDisconnected.await(timeoutMs, TimeUnit.MILLISECONDS);
            loop.submit(() -> logEnd(allDisconnected)).awaitUninterruptibly(LAST_LOG_LINE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void logEnd(boolean allDisconnected) {
        logCounters.run();
        log.write(config.name()
                + (allDisconnected
                        ? ": drained, all clients have disconnected"
                        : ": drain timed out with clients still connected, exiting"));
    }
}
