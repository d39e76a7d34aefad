package gaugegw.proxy.client;

import gaugegw.proxy.transport.Clock;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Estimates when a byte that is read now was received. While the event loop is delayed, by a pause of the process or by
 * a long batch of work, received bytes wait unread; a deadline counted from the read would then be too late, and the
 * client would give up before it has its response. A delay shows in an overdue tick of a periodic task. Ticks and reads
 * take turns, so that a delay counts until the tick after the overdue one. Used on the event loop only.
 */
final class EventLoopDelayEstimator {
    /** The interval between two ticks; the loop counts as delayed once a tick is overdue by as much again. */
    private static final long TICK_INTERVAL_US = 10_000;

    private final Clock clock;
    private long lastTickAtUs;
    /** When the delay before the last tick began, on the proxy's clock; {@code Long.MAX_VALUE} if there was none. */
    private long delayedSinceUs = Long.MAX_VALUE;

    EventLoopDelayEstimator(Clock clock) {
        this.clock = clock;
    }

    /** Starts the ticks; they end with the event loop. */
    void start(EventLoop loop) {
        lastTickAtUs = clock.nowUs();
        loop.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_US, TICK_INTERVAL_US, TimeUnit.MICROSECONDS);
    }

    /** Returns the earliest time at which a byte that is read now may have been received, on the proxy's clock. */
    long earliestReceiptUs() {
        return Math.min(delayedSinceUs, delayStartOr(clock.nowUs()));
    }

    private void tick() {
        delayedSinceUs = delayStartOr(Long.MAX_VALUE);
        lastTickAtUs = clock.nowUs();
    }

    private long delayStartOr(long ifNotDelayed) {
        boolean delayed = clock.nowUs() - lastTickAtUs > 2 * TICK_INTERVAL_US;
        return delayed ? lastTickAtUs + TICK_INTERVAL_US : ifNotDelayed;
    }
}
