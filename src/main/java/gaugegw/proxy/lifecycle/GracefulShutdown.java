package gaugegw.proxy.lifecycle;

import gaugegw.balancer.api.RequestClass;
import gaugegw.proxy.client.Frontend;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Ends a proxy's service in time: answers all requests that it has taken and sends the clients elsewhere. Clients may
 * keep their connections for most of it: the proxy that they would turn to may itself have just started.
 */
final class GracefulShutdown {
    /** New connections keep arriving for up to 400 ms after the signal (protocol page): accept for a little longer. */
    private static final long ACCEPT_GRACE_MS = 500;

    private static final long POLL_INTERVAL_MS = 10;
    /** SIGKILL comes 700 ms after the longest deadline, which counts as this at most (protocol page). */
    private static final long MAX_DEADLINE_MS = 3_000;

    /** The process ends so long after the longest deadline: before SIGKILL. */
    private static final long EXIT_DELAY_MS = 600;
    /** Requests still open so long before the end are failed: they have had the time that most answers take. */
    private static final long FAIL_BEFORE_EXIT_MS = 50;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final ProxyConfig config;
    private final Frontend frontend;
    private final RequestDispatcher proxy;
    private final CountDownLatch drained = new CountDownLatch(1);
    private volatile boolean begun;

    GracefulShutdown(
            EventLoop loop, RateLimitedLog log, ProxyConfig config, Frontend frontend, RequestDispatcher proxy) {
        this.loop = loop;
        this.log = log;
        this.config = config;
        this.frontend = frontend;
        this.proxy = proxy;
    }

    /** Drains, and returns when no client is connected any more or the time is up. */
    void run() {
        begun = true;
        long deadlineMs = Math.min(MAX_DEADLINE_MS, longestDeadlineMs());
        loop.execute(() -> {
            log.line(config.name() + ": draining");
            frontend.leave();
        });
        after(ACCEPT_GRACE_MS, this::stopAccepting);
        after(Math.max(0, deadlineMs - ACCEPT_GRACE_MS), frontend::closeAfterAnswers);
        after(deadlineMs, frontend::closeIdle);
        after(deadlineMs + EXIT_DELAY_MS - FAIL_BEFORE_EXIT_MS, proxy::failAll);
        awaitDrained(deadlineMs + EXIT_DELAY_MS);
    }

    /** Returns whether the process has been told to end; from any thread. */
    boolean hasBegun() {
        return begun;
    }

    private long longestDeadlineMs() {
        long longestUs = config.settings().requestClasses().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        return longestUs / 1_000;
    }

    private void after(long delayMs, Runnable step) {
        loop.schedule(step, delayMs, TimeUnit.MILLISECONDS);
    }

    private void stopAccepting() {
        frontend.stopListening();
        loop.scheduleWithFixedDelay(this::checkDrained, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void checkDrained() {
        if (frontend.connected() == 0) {
            drained.countDown();
        }
    }

    private void awaitDrained(long limitMs) {
        try {
            boolean all = drained.await(limitMs, TimeUnit.MILLISECONDS);
            loop.submit(() -> log.line(config.name() + (all ? ": drained" : ": ends with clients still connected")))
                    .awaitUninterruptibly(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
