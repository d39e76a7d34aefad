package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a system call on one socket that has failed is made again, and when. Most errors of a read, a write or
 * an accept concern this call alone, such as a lack of memory in the kernel (ENOBUFS, ENOMEM), or leave open whether the
 * connection still exists (ETIMEDOUT, EHOSTUNREACH); the next call tells. So a connection ends only when an error says
 * that the peer has ended it, or when calls have failed for a long time without a success in between. The delay between
 * two calls doubles from failure to failure. Used on the event loop only.
 */
final class SocketCallRetry {
    private static final long FIRST_DELAY_US = 1_000;
    /** Well below 100 ms, the time within which the proxy must notice that a client has closed its connection. */
    private static final long MAX_DELAY_US = 20_000;
    /** The longest deadline of a request, 3 s, and 0.5 s in which a late response still counts as one. */
    private static final long GIVE_UP_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(3_500);

    private final String call;
    private final Channel channel;
    private final SocketFailureListener listener;
    /** The last failure, null if no call has failed since the last success. */
    private IOException lastFailure;

    private long firstFailureAtNs;
    private long nextDelayUs = FIRST_DELAY_US;
    private boolean waiting;

    /**
     * Creates the state for one kind of call on one channel.
     *
     * @param call the name of the call
     */
    SocketCallRetry(String call, Channel channel, SocketFailureListener listener) {
        this.call = call;
        this.channel = channel;
        this.listener = listener;
    }

    /** Returns the failure of the last call; null if it has succeeded. */
    IOException lastFailure() {
        return lastFailure;
    }

    /** Returns whether a call has failed and the delay before the next one has not passed. */
    boolean isWaiting() {
        return waiting;
    }

    void succeeded() {
        lastFailure = null;
        nextDelayUs = FIRST_DELAY_US;
    }

    /** Returns whether the connection has to be ended because of a failure of this call. */
    boolean isFinal(IOException failure) {
        boolean failsForLong = lastFailure != null && System.nanoTime() - firstFailureAtNs > GIVE_UP_AFTER_NS;
        return failsForLong || SocketErrors.isDisconnect(failure);
    }

    /** Records a failure and schedules the next call, unless it is scheduled already. */
    void failed(IOException failure, Runnable nextCall) {
        if (lastFailure == null) {
            firstFailureAtNs = System.nanoTime();
        }
        lastFailure = failure;
        listener.callFailed(call, channel, failure);
        if (waiting) {
            return;
        }
        waiting = true;
        channel.eventLoop()
                .schedule(
                        () -> {
                            waiting = false;
                            if (channel.isOpen()) {
                                nextCall.run();
                            }
                        },
                        nextDelayUs,
                        TimeUnit.MICROSECONDS);
        nextDelayUs = Math.min(2 * nextDelayUs, MAX_DELAY_US);
    }
}
