package gaugegw.proxy.dispatch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Guards against a load balancer that never answers a request: each request has a timer, and one that fires while the
 * request is open has its client answered all the same. Event loop only.
 */
final class OverdueTimer {
    /** How long after its deadline an open request is overdue, in microseconds: the load balancer's own timers go first. */
    private static final long OVERDUE_DELAY_US = 2_000;

    private final EventLoop loop;
    private final Consumer<DispatchedRequest> overdueHandler;

    OverdueTimer(EventLoop loop, Consumer<DispatchedRequest> overdueHandler) {
        this.loop = loop;
        this.overdueHandler = overdueHandler;
    }

    /** Starts the timer of a request that has just arrived; the request cancels it when it ends. */
    void start(DispatchedRequest request, long nowUs) {
        long delayUs = request.deadlineAtUs() + OVERDUE_DELAY_US - nowUs;
        request.setOverdueTimer(loop.schedule(() -> overdueHandler.accept(request), delayUs, TimeUnit.MICROSECONDS));
    }
}
