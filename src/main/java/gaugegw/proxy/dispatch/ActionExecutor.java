package gaugegw.proxy.dispatch;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Event;
import gaugegw.proxy.discovery.EndpointWatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.upstream.UpstreamClient;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Executes the load balancer's actions. This is the only class that distinguishes the types of {@link Action}. Used on
 * the event loop only.
 */
final class ActionExecutor {
    private final Clock clock;
    private final EventLoop loop;
    private final RateLimitedLog log;
    private final EventQueue events;
    private final RequestTable requests;
    private final AttemptStarter attempts;
    private final UpstreamClient upstream;
    private EndpointWatcher endpointWatcher;

    ActionExecutor(
            Clock clock,
            EventLoop loop,
            RateLimitedLog log,
            EventQueue events,
            RequestTable requests,
            AttemptStarter attempts,
            UpstreamClient upstream) {
        this.clock = clock;
        this.loop = loop;
        this.log = log;
        this.events = events;
        this.requests = requests;
        this.attempts = attempts;
        this.upstream = upstream;
    }

    void setEndpointWatcher(EndpointWatcher watcher) {
        endpointWatcher = watcher;
    }

    /**
     * Executes one action. Does nothing if the request or attempt that the action concerns no longer exists.
     *
     * @throws UnsupportedOperationException for {@link Action.CheckHealth}: the settings of a deployed proxy never
     *     permit health checks
     */
    void execute(Action action) {
        if (action instanceof Action.StartAttempt start) {
            attempts.start(start);
        } else if (action instanceof Action.SetTimer timer) {
            setTimer(timer);
        } else if (action instanceof Action.Reject reject) {
            requests.respondIfOpen(reject.requestId(), sink -> sink.sendRejection(reject.retryAfterUs()));
        } else if (action instanceof Action.Fail fail) {
            requests.respondIfOpen(fail.requestId(), ResponseSink::sendFailure);
        } else if (action instanceof Action.CancelAttempt cancel) {
            attempts.cancel(cancel);
        } else if (action instanceof Action.CloseIdleConnections close) {
            upstream.closeIdleConnections(close.endpointId());
        } else if (action instanceof Action.WatchEndpoints watch) {
            endpointWatcher.watch(watch.enabled());
        } else if (action instanceof Action.FetchEndpoints) {
            endpointWatcher.fetch();
        } else if (action instanceof Action.LogMessage message) {
            log.write(message.text());
        } else if (action instanceof Action.CheckHealth) {
            throw new UnsupportedOperationException("the proxy does not implement health checks");
        } else {
            throw new IllegalArgumentException("unknown type of action");
        }
    }

    private void setTimer(Action.SetTimer timer) {
        long delayUs = Math.max(0, timer.atUs() - clock.nowUs());
        loop.schedule(() -> events.deliver(new Event.TimerFired(timer.token())), delayUs, TimeUnit.MICROSECONDS);
    }
}
