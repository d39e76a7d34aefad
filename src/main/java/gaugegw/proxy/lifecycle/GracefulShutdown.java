package gaugegw.proxy.lifecycle;

import gaugegw.proxy.client.Frontend;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Drains a proxy before its process ends: answers all requests in flight, and has the clients reconnect elsewhere.
 * Clients keep their connections for most of the time, as the proxy that they would reconnect to may itself have just
 * started.
 *
 * <p>The steps, in the order of the times that {@link DrainSchedule} gives them, all on the event loop:
 *
 * <ol>
 *   <li><b>announce</b>: readiness checks fail from now on, so that no new clients are assigned;
 *   <li><b>stop accepting</b>, and begin to look whether all clients have disconnected;
 *   <li><b>close after responses</b>: clients that keep sending leave with a complete response;
 *   <li><b>close idle</b>: clients that send nothing are disconnected;
 *   <li><b>fail the remaining requests</b>, so that none ends with the process and without a response.
 * </ol>
 */
final class GracefulShutdown {
    /** Time between two checks of whether a client is still connected, in milliseconds. */
    private static final long CHECK_INTERVAL_MS = 10;

    /** Longest wait for the last log line, in milliseconds; a busy loop must not delay the end for it. */
    private static final long LOG_TIMEOUT_MS = 10;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final ProxyConfig config;
    private final Frontend frontend;
    private final RequestDispatcher dispatcher;
    private final CountDownLatch clientsDisconnected = new CountDownLatch(1);
    /** Written by the thread that drains, read by the one that starts. */
    private volatile boolean begun;

    GracefulShutdown(
            EventLoop loop, RateLimitedLog log, ProxyConfig config, Frontend frontend, RequestDispatcher dispatcher) {
        this.loop = loop;
        this.log = log;
        this.config = config;
        this.frontend = frontend;
        this.dispatcher = dispatcher;
    }

    /** Drains, and returns when no client is connected any more or the time is up. Not to be called on the event loop. */
    void run() {
        begun = true;
        DrainSchedule schedule = DrainSchedule.of(config.settings());
        loop.execute(this::announce);
        after(schedule.stopAcceptingMs(), this::stopAccepting);
        after(schedule.closeAfterResponsesMs(), frontend::closeAfterResponses);
        after(schedule.closeIdleMs(), frontend::closeIdleConnections);
        after(schedule.failRemainingMs(), dispatcher::failAll);
        awaitDisconnects(schedule.exitMs());
    }

    /** Returns whether the drain has begun; from any thread. */
    boolean hasBegun() {
        return begun;
    }

    private void after(long delayMs, Runnable step) {
        loop.schedule(step, delayMs, TimeUnit.MILLISECONDS);
    }

    private void announce() {
        assert loop.inEventLoop();
        log.write(config.name() + ": draining");
        frontend.reportNotReady();
    }

    private void stopAccepting() {
        assert loop.inEventLoop();
        frontend.stopListening();
        loop.scheduleWithFixedDelay(
                this::checkDisconnected, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void checkDisconnected() {
        assert loop.inEventLoop();
        if (frontend.connectedClients() == 0) {
            clientsDisconnected.countDown();
        }
    }

    private void awaitDisconnects(long limitMs) {
        try {
            boolean all = clientsDisconnected.await(limitMs, TimeUnit.MILLISECONDS);
            loop.submit(() -> log.write(config.name() + (all ? ": drained" : ": ends with clients still connected")))
                    .awaitUninterruptibly(LOG_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
