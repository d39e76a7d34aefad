package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.proxy.http.ProtocolHeaders;
import gaugegw.proxy.transport.Clock;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.util.concurrent.TimeUnit;

/**
 * One attempt to have a request served by one backend, from the acquisition of a connection to its outcome. It is
 * started once, ends once and reports its end to its {@link AttemptListener}. Used on the event loop only.
 */
public final class UpstreamAttempt {
    private enum State {
        /** Not started yet. */
        CREATED,
        /** Waits for a connection: no byte of the request has been written. */
        CONNECTING,
        /** The request is being written; its last byte has not been written yet. */
        WRITING,
        /** The complete request has been written: from here on the backend may have executed it. */
        AWAITING_RESPONSE,
        /** The outcome has been reported. */
        ENDED
    }

    private final Clock clock;
    private final EventLoop loop;
    private final UpstreamEndpoint endpoint;
    private final UpstreamRequest request;
    private final long timeoutUs;
    private final Runnable beforeWrite;
    private final AttemptListener listener;
    private State state = State.CREATED;
    /** Outlives the state: a response may still be decoded as the connection of an ended attempt is closed. */
    private boolean written;

    private long startedAtUs;
    private Future<?> timeoutTimer;
    /** The connection that is being opened for this attempt; null for a pooled one. */
    private ChannelFuture connecting;
    /** Null until the attempt has its connection. */
    private Channel channel;

    UpstreamAttempt(
            UpstreamContext context,
            UpstreamEndpoint endpoint,
            UpstreamRequest request,
            long timeoutUs,
            Runnable beforeWrite,
            AttemptListener listener) {
        this.clock = context.clock();
        this.loop = context.loop();
        this.endpoint = endpoint;
        this.request = request;
        this.timeoutUs = timeoutUs;
        this.beforeWrite = beforeWrite;
        this.listener = listener;
    }

    /** Starts the timeout and acquires a connection; the listener may be called before this returns. */
    public void start() {
        assert loop.inEventLoop();
        state = State.CONNECTING;
        startedAtUs = clock.nowUs();
        endpoint.attemptStarted(this);
        timeoutTimer = loop.schedule(this::timeOut, timeoutUs, TimeUnit.MICROSECONDS);
        Promise<Channel> acquired = loop.newPromise();
        connecting = endpoint.pool().acquireOrConnect(acquired);
        acquired.addListener((Future<Channel> f) -> connected(f));
    }

    /** Returns whether the last byte of the request has been written: only then may the backend have executed it. */
    public boolean isRequestWritten() {
        return written;
    }

    /**
     * Ends the attempt from this side; does nothing once it has ended. The connection is closed before the listener is
     * called: otherwise a retry that the listener starts would be in flight beside this attempt.
     */
    public void abort(AttemptOutcome outcome) {
        assert loop.inEventLoop();
        if (isEnded()) {
            return;
        }
        state = State.ENDED;
        if (channel != null) {
            channel.close();
        } else if (connecting != null) {
            connecting.channel().close();
        }
        report(outcome, null);
    }

    boolean isEnded() {
        return state == State.ENDED;
    }

    /**
     * Ends the attempt with an outcome that the connection has brought; does nothing once it has ended.
     *
     * @param response passed to the listener, which releases it; null unless the outcome is a success
     */
    void complete(AttemptOutcome outcome, UpstreamResponse response) {
        if (!isEnded()) {
            state = State.ENDED;
            report(outcome, response);
        }
    }

    /** Before its last byte is written a request has certainly not been executed; after that it may have been. */
    private void timeOut() {
        abort(written ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
    }

    private void connected(Future<Channel> acquired) {
        connecting = null;
        if (acquired.isSuccess() && !isEnded()) {
            beforeWrite.run();
        }
        if (!acquired.isSuccess()) {
            complete(AttemptOutcome.CONNECT_FAILED, null);
        } else if (isEnded()) {
            acquired.getNow().close();
        } else {
            channel = acquired.getNow();
            state = State.WRITING;
            writeOrAbort();
        }
    }

    /** A request that can't be encoded has not been sent; the failure must not reach the other attempts of the loop. */
    private void writeOrAbort() {
        try {
            write();
        } catch (RuntimeException e) {
            abort(AttemptOutcome.NOT_SENT);
        }
    }

    private void write() {
        var message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.body().retainedDuplicate());
        ProtocolHeaders.copyEndToEnd(request.headers(), message.headers());
        message.headers().set(ProtocolHeaders.TIMEOUT, Math.max(1, startedAtUs + timeoutUs - clock.nowUs()) + "u");
        if (!request.method().equals(HttpMethod.GET) || message.content().isReadable()) {
            HttpUtil.setContentLength(message, message.content().readableBytes());
        }
        channel.pipeline().get(UpstreamConnectionHandler.class).begin(this);
        channel.writeAndFlush(message).addListener(this::writeCompleted);
    }

    private void writeCompleted(Future<?> write) {
        written = write.isSuccess();
        if (!written) {
            abort(AttemptOutcome.CONNECT_FAILED);
        } else if (state == State.WRITING) {
            state = State.AWAITING_RESPONSE;
        }
    }

    private void report(AttemptOutcome outcome, UpstreamResponse response) {
        timeoutTimer.cancel(false);
        endpoint.attemptEnded(this);
        listener.ended(outcome, clock.nowUs() - startedAtUs, response);
    }
}
