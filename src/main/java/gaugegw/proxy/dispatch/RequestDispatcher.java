package gaugegw.proxy.dispatch;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.discovery.EndpointUpdateListener;
import gaugegw.proxy.discovery.EndpointWatcher;
import gaugegw.proxy.discovery.ListedEndpoint;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.logging.TrafficCounters;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.upstream.UpstreamAttempt;
import gaugegw.proxy.upstream.UpstreamClient;
import io.netty.channel.EventLoop;
import java.util.List;

/**
 * Connects the load balancer with the proxy's connections. It turns what happens to clients, attempts and the endpoint
 * list into events, and executes the actions that the load balancer requests.
 *
 * <p>The load balancer decides how each request is handled. The dispatcher responds without it only if the deadline has
 * passed, if the load balancer has thrown an exception, or if the process is about to end. All methods are called on
 * the event loop, except for {@link #openRequests} and {@link #setEndpointWatcher}.
 */
public final class RequestDispatcher implements EndpointUpdateListener {
    private final Clock clock;
    private final EventLoop loop;
    private final UpstreamClient upstream;
    private final RequestTable requests;
    private final ExecutedRequestIds executedIds;
    private final EventQueue events;
    private final ActionExecutor actions;
    private final OverdueTimer overdueTimer;
    private boolean terminating;

    /** Creates a dispatcher without requests; may be called on any thread. */
    public RequestDispatcher(
            Clock clock,
            EventLoop loop,
            RateLimitedLog log,
            TrafficCounters counters,
            BalancerSettings settings,
            LoadBalancer loadBalancer,
            UpstreamClient upstream) {
        this.clock = clock;
        this.loop = loop;
        this.upstream = upstream;
        requests = new RequestTable(log);
        executedIds = new ExecutedRequestIds(settings);
        events = new EventQueue(clock, loop, log, loadBalancer, this::execute, this::loadBalancerFailed);
        var attempts = new AttemptStarter(clock, settings.limits(), counters, executedIds, events, requests, upstream);
        actions = new ActionExecutor(clock, loop, log, events, requests, attempts, upstream);
        overdueTimer = new OverdueTimer(loop, this::failIfOpen);
    }

    /**
     * Sets the watcher that the load balancer's actions control. Called once, before the first event. The watcher is
     * not a constructor parameter, because it needs this dispatcher as its listener.
     */
    public void setEndpointWatcher(EndpointWatcher watcher) {
        actions.setEndpointWatcher(watcher);
    }

    /**
     * Returns the number of requests that are open or have an attempt in flight. May be called on any thread; outside
     * the event loop the number may be out of date.
     */
    public int openRequests() {
        return requests.size();
    }

    /**
     * Returns whether the id is that of a request that is open or has an attempt in flight, or that a backend may have
     * executed and must not execute again.
     */
    public boolean isIdInUse(String id) {
        assert loop.inEventLoop();
        return requests.contains(id) || executedIds.contains(id);
    }

    /** Accepts a request. The sink is called before this returns or later, unless the client disconnects first. */
    public void requestArrived(ClientRequest clientRequest, ResponseSink responseSink) {
        assert loop.inEventLoop();
        long nowUs = clock.nowUs();
        if (terminating) {
            responseSink.sendRejection(0);
            return;
        }
        if (nowUs >= clientRequest.deadlineAtUs()) {
            responseSink.sendFailure();
            return;
        }
        var request = new DispatchedRequest(clientRequest, responseSink);
        requests.add(request);
        overdueTimer.start(request, nowUs);
        events.deliver(new Event.RequestArrived(
                clientRequest.id(),
                clientRequest.requestClass(),
                clientRequest.tenant(),
                clientRequest.affinityKey(),
                clientRequest.deadlineAtUs() - nowUs,
                clientRequest.retry()));
    }

    /** Handles the disconnect of a client that waits for a response. Does nothing if the request has already ended. */
    public void clientDisconnected(String id) {
        assert loop.inEventLoop();
        DispatchedRequest request = requests.find(id);
        if (request != null && request.isOpen()) {
            request.clientDisconnected();
            abandon(request);
        }
    }

    /**
     * Fails all open requests, and rejects those that arrive from now on. Called when the process is about to end, so
     * that no request is left without a response.
     */
    public void failAll() {
        assert loop.inEventLoop();
        terminating = true;
        requests.snapshot().forEach(this::failIfOpen);
    }

    @Override
    public void endpointsUpdated(UpdateKind kind, List<ListedEndpoint> listed) {
        assert loop.inEventLoop();
        List<UpstreamAttempt> unwritten =
                kind == UpdateKind.POLL_FAILED ? List.of() : upstream.applyUpdate(kind, listed);
        events.deliver(new Event.EndpointUpdate(
                kind, listed.stream().map(ListedEndpoint::endpoint).toList()));
        // Abort these after the event is delivered: when the load balancer retries them, it knows the new list and
        // chooses other endpoints.
        unwritten.forEach(attempt -> attempt.abort(AttemptOutcome.NOT_SENT));
    }

    private void failIfOpen(DispatchedRequest request) {
        if (request.isOpen()) {
            requests.respond(request, ResponseSink::sendFailure);
            abandon(request);
        }
    }

    /**
     * Reports that the client no longer waits for a response, and aborts the attempts whose request has not been
     * written completely. An attempt whose request has been written continues unless the load balancer cancels it,
     * which the settings may forbid.
     */
    private void abandon(DispatchedRequest request) {
        events.deliver(new Event.ClientDisconnected(request.id()));
        for (UpstreamAttempt attempt : request.attempts()) {
            if (!attempt.isRequestWritten()) {
                attempt.abort(AttemptOutcome.NOT_SENT);
            }
        }
        requests.removeIfComplete(request);
    }

    private void execute(Action action) {
        actions.execute(action);
    }

    /** Fails the request of the event, if it has one; the load balancer's exception affects no other request. */
    private void loadBalancerFailed(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            requests.respondIfOpen(arrived.requestId(), ResponseSink::sendFailure);
        } else if (event instanceof Event.AttemptEnded ended) {
            requests.respondIfOpen(ended.requestId(), ResponseSink::sendFailure);
        }
    }
}
