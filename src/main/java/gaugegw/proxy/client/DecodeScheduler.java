package gaugegw.proxy.client;

import gaugegw.proxy.transport.Clock;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Runs the turns of a {@link DecodeWorkLimiter} on the event loop when they are due. All connections share one
 * scheduler. Used on the event loop only.
 */
final class DecodeScheduler {
    private final Clock clock;
    private final DecodeWorkLimiter limiter = new DecodeWorkLimiter();
    private boolean scheduled;

    DecodeScheduler(Clock clock) {
        this.clock = clock;
    }

    /** Records the work of a read; see {@link DecodeWorkLimiter#readDecoded}. */
    void readDecoded(long requestParts, long readParts) {
        limiter.readDecoded(requestParts, readParts, clock.nowUs());
    }

    /**
     * Schedules the next read of a connection.
     *
     * @param loop the event loop that all connections share
     * @param expectedParts see {@link DecodeWorkLimiter#expectedParts}
     * @param reader reads the connection; called in a later task, unless the turn is cancelled before
     */
    DecodeTurn schedule(EventLoop loop, long expectedParts, Runnable reader) {
        DecodeTurn turn = limiter.add(expectedParts, reader);
        scheduleNextTurn(loop);
        return turn;
    }

    /** Cancels a turn that is not needed any more; does nothing if it has been taken. */
    void cancel(DecodeTurn turn) {
        limiter.remove(turn);
    }

    private void scheduleNextTurn(EventLoop loop) {
        if (!scheduled && limiter.hasWaiting()) {
            scheduled = true;
            loop.schedule(() -> runDueTurns(loop), limiter.untilNextTurnUs(clock.nowUs()), TimeUnit.MICROSECONDS);
        }
    }

    /** Runs the next turn, and those after it if the connection had received nothing, which costs no work. */
    private void runDueTurns(EventLoop loop) {
        try {
            for (DecodeTurn turn = limiter.pollDue(clock.nowUs());
                    turn != null;
                    turn = limiter.pollDue(clock.nowUs())) {
                turn.reader().run();
            }
        } finally {
            scheduled = false;
            scheduleNextTurn(loop);
        }
    }
}
