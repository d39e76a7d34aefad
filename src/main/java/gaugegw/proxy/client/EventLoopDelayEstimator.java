package gaugegw.proxy.client;

import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.PeriodicTask;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/**
 * Estimates when a byte that is read now was received. While the event loop is delayed, by a pause of the process or by
 * a long batch of work, received bytes wait unread. A deadline counted from the read would then be too late, and the
 * client would give up before it gets its response.
 *
 * <p>A periodic task detects a delay: its tick is then overdue. The loop may run the overdue tick before it reads the
 * bytes that were received during the delay, so bytes that are read before the following tick count as received when
 * the delay began. Used on the event loop only.
 */
final class EventLoopDelayEstimator {
    /**
     * Interval between two ticks, in microseconds. The loop counts as delayed if a tick is overdue by more than this.
     */
    private static final long TICK_INTERVAL_US = 10_000;

    private final Clock clock;
    private long lastTickAtUs;
    /** When the delay before the last tick began, on the proxy's clock, or {@code Long.MAX_VALUE} if there was none. */
    private long delayedSinceUs = Long.MAX_VALUE;

    EventLoopDelayEstimator(Clock clock) {
        this.clock = clock;
    }

    /**
     * Starts the periodic task, which runs until the event loop ends.
     *
     * @param failureHandler called with what the task has thrown
     */
    void start(EventLoop loop, Consumer<Throwable> failureHandler) {
        lastTickAtUs = clock.nowUs();
        PeriodicTask.start(loop, TICK_INTERVAL_US, this::tick, failureHandler);
    }

    /** Returns the earliest time at which a byte that is read now may have been received, on the proxy's clock. */
    long earliestReceiptAtUs() {
        return Math.min(delayedSinceUs, delayStartAtUsOr(clock.nowUs()));
    }

    private void tick() {
        delayedSinceUs = delayStartAtUsOr(Long.MAX_VALUE);
        lastTickAtUs = clock.nowUs();
    }

    /** Returns when the next tick was due, if it is overdue by more than an interval; otherwise the given value. */
    private long delayStartAtUsOr(long valueIfNotDelayed) {
        boolean delayed = clock.nowUs() - lastTickAtUs > 2 * TICK_INTERVAL_US;
        return delayed ? lastTickAtUs + TICK_INTERVAL_US : valueIfNotDelayed;
    }
}
