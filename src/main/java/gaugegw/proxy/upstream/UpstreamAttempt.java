package gaugegw.proxy.upstream;

import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.proxy.http.ProtocolHeaders;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.SocketErrors;
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
 * One attempt to send a request to one backend, from acquiring a connection to the outcome. It is started once, ends
 * once, and then reports its outcome to its {@link AttemptListener}. Used on the event loop only.
 */
public final class UpstreamAttempt {
    /**
     * How often a connect that failed for lack of something on this machine is made again. The delays between these
     * connects begin with {@link #FIRST_RECONNECT_DELAY_MS} and double.
     */
    private static final int MAX_RECONNECTS = 5;

    private static final long FIRST_RECONNECT_DELAY_MS = 1;

    private enum State {
        /** The attempt has not been started. */
        CREATED,
        /** Waiting for a connection; no byte of the request has been written. */
        CONNECTING,
        /** Writing the request; its last byte has not been written. */
        WRITING,
        /** The complete request has been written, so the backend may have executed it. */
        AWAITING_RESPONSE,
        /** The outcome has been determined; later events don't change it. */
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
    /**
     * Whether the complete request has been written. Not part of the state, because it is still needed after the
     * attempt has ended: the decoder may deliver a response while the connection is being closed.
     */
    private boolean requestWritten;

    private long startedAtUs;
    private int reconnects;
    private Future<?> timeoutTimer;
    /** The connect in progress for this attempt; null if there is none, as with a pooled connection. */
    private ChannelFuture connecting;
    /** The connection of this attempt; null until it has been acquired. */
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

    /** Starts the timeout and acquires a connection. The listener may be called before this method returns. */
    public void start() {
        assert loop.inEventLoop();
        state = State.CONNECTING;
        startedAtUs = clock.nowUs();
        endpoint.attemptStarted(this);
        timeoutTimer = loop.schedule(this::timeOut, timeoutUs, TimeUnit.MICROSECONDS);
        acquire();
    }

    private void acquire() {
        Promise<Channel> acquired = loop.newPromise();
        connecting = endpoint.pool().acquireOrConnect(acquired);
        acquired.addListener((Future<Channel> f) -> acquireCompleted(f));
    }

    /** Returns whether the last byte of the request has been written. Until then the backend can't have executed it. */
    public boolean isRequestWritten() {
        return requestWritten;
    }

    /**
     * Ends the attempt with an outcome that the proxy decides; does nothing if the attempt has already ended. Closes
     * the connection before it calls the listener: otherwise a retry that the listener starts would be in flight at the
     * same time as this attempt.
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
     * Ends the attempt with an outcome that results from its connection; does nothing if the attempt has already ended.
     *
     * @param response passed to the listener, which releases its body; null unless the outcome is a success
     */
    void complete(AttemptOutcome outcome, UpstreamResponse response) {
        if (!isEnded()) {
            state = State.ENDED;
            report(outcome, response);
        }
    }

    /**
     * Ends the attempt at its timeout. If the request was not written completely, the outcome is {@link
     * AttemptOutcome#CONNECT_FAILED}, which proves that the request was not executed; otherwise it may have been.
     */
    private void timeOut() {
        abort(requestWritten ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
    }

    private void acquireCompleted(Future<Channel> acquired) {
        connecting = null;
        if (acquired.isSuccess() && !isEnded()) {
            beforeWrite.run();
        }
        if (!acquired.isSuccess()) {
            acquireFailed(acquired.cause());
        } else if (isEnded()) {
            acquired.getNow().close();
        } else {
            channel = acquired.getNow();
            state = State.WRITING;
            writeOrAbort();
        }
    }

    /** Connects again if the endpoint is not to blame for the failure; otherwise ends the attempt. */
    private void acquireFailed(Throwable failure) {
        if (!SocketErrors.isLocalShortage(failure)) {
            complete(AttemptOutcome.CONNECT_FAILED, null);
        } else if (reconnects == MAX_RECONNECTS) {
            complete(AttemptOutcome.NOT_SENT, null);
        } else {
            loop.schedule(this::reconnect, FIRST_RECONNECT_DELAY_MS << reconnects, TimeUnit.MILLISECONDS);
            reconnects++;
        }
    }

    private void reconnect() {
        if (isEnded()) {
            return;
        }
        if (endpoint.pool().prepareAcquire()) {
            acquire();
        } else {
            complete(AttemptOutcome.NOT_SENT, null);
        }
    }

    /**
     * Writes the request. If that throws an exception, the request was not sent; the exception must not propagate, as
     * that would affect other attempts on the event loop.
     */
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
        var connection = channel.pipeline().get(UpstreamConnectionHandler.class);
        connection.writeRequest(this, message).addListener(this::writeCompleted);
    }

    private void writeCompleted(Future<?> write) {
        requestWritten = write.isSuccess();
        if (!requestWritten) {
            abort(AttemptOutcome.CONNECT_FAILED);
        } else if (state == State.WRITING) {
            state = State.AWAITING_RESPONSE;
        }
    }

    private void report(AttemptOutcome outcome, UpstreamResponse response) {
        timeoutTimer.cancel(false);
        endpoint.attemptEnded(this);
        listener.attemptEnded(outcome, clock.nowUs() - startedAtUs, response);
    }
}
