package gaugegw.proxy.dispatch;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Guards against a load balancer that leaves a request without a response. Each request has a timer, which its end
 * cancels; if the timer fires, the handler responds to the client. Used on the event loop only.
 */
final class OverdueTimer {
    /**
     * Time from the deadline of a request until its timer fires, in microseconds. It leaves the load balancer's own
     * timers time to fire first.
     */
    private static final long OVERDUE_DELAY_US = 2_000;

    private final EventLoop loop;
    private final Consumer<DispatchedRequest> overdueHandler;

    OverdueTimer(EventLoop loop, Consumer<DispatchedRequest> overdueHandler) {
        this.loop = loop;
        this.overdueHandler = overdueHandler;
    }

    /** Starts the timer of a request that has just arrived. The request cancels it when it ends. */
    void start(DispatchedRequest request, long nowUs) {
        long delayUs = request.deadlineAtUs() + OVERDUE_DELAY_US - nowUs;
        request.setOverdueTimer(loop.schedule(() -> overdueHandler.accept(request), delayUs, TimeUnit.MICROSECONDS));
    }
}
