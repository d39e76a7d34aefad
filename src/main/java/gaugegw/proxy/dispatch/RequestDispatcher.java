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
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.upstream.UpstreamAttempt;
import gaugegw.proxy.upstream.UpstreamClient;
import io.netty.channel.EventLoop;
import java.util.List;

/**
 * Stands between the load balancer and the sockets: turns what happens to clients, attempts and the endpoint list into
 * events, and has the load balancer's actions executed. It makes no decision of its own, except that each request is
 * answered in time whatever the load balancer does. All methods but {@link #openRequests} are called on the event loop.
 */
public final class RequestDispatcher implements EndpointUpdateListener {
    private final Clock clock;
    private final EventLoop loop;
    private final UpstreamClient upstream;
    private final RequestTable requests;
    private final EventQueue events;
    private final ActionExecutor actions;
    private final OverdueTimer overdueTimer;
    private boolean terminating;

    /** Creates a dispatcher without requests; may be called on any thread. */
    public RequestDispatcher(
            Clock clock,
            EventLoop loop,
            RateLimitedLog log,
            BalancerSettings settings,
            LoadBalancer loadBalancer,
            UpstreamClient upstream) {
        this.clock = clock;
        this.loop = loop;
        this.upstream = upstream;
        requests = new RequestTable(log);
        events = new EventQueue(clock, loop, log, loadBalancer, this::execute, this::loadBalancerFailed);
        var attempts = new AttemptStarter(clock, settings.limits(), events, requests, upstream);
        actions = new ActionExecutor(clock, loop, log, events, requests, attempts, upstream);
        overdueTimer = new OverdueTimer(loop, this::failIfOpen);
    }

    /**
     * Sets the watcher that the load balancer's actions control. Called once, before any event: the watcher needs this
     * dispatcher as its listener and so is created after it.
     */
    public void setEndpointWatcher(EndpointWatcher watcher) {
        actions.setEndpointWatcher(watcher);
    }

    /**
     * Returns the number of requests that are open or have an attempt in flight. On any other thread than the event loop
     * the number may be out of date.
     */
    public int openRequests() {
        return requests.size();
    }

    /** Returns whether a request of this id is open or has an attempt in flight. */
    public boolean isServing(String id) {
        assert loop.inEventLoop();
        return requests.contains(id);
    }

    /** Takes a request over; the sink is called now or later, unless the client disconnects before. */
    public void requestArrived(ClientRequest clientRequest, ResponseSink responseSink) {
        assert loop.inEventLoop();
        long now = clock.nowUs();
        if (terminating) {
            responseSink.sendRejection(0);
            return;
        }
        if (now >= clientRequest.deadlineAtUs()) {
            responseSink.sendFailure();
            return;
        }
        var request = new DispatchedRequest(clientRequest, responseSink);
        requests.add(request);
        overdueTimer.start(request, now);
        events.deliver(new Event.RequestArrived(
                clientRequest.id(),
                clientRequest.requestClass(),
                clientRequest.tenant(),
                clientRequest.key(),
                clientRequest.deadlineAtUs() - now,
                clientRequest.retry()));
    }

    /** The client has closed its connection before it had a response. Does nothing once the request has ended. */
    public void clientDisconnected(String id) {
        assert loop.inEventLoop();
        DispatchedRequest request = requests.find(id);
        if (request != null && request.isOpen()) {
            request.clientDisconnected();
            abandon(request);
        }
    }

    /**
     * Fails all open requests, and rejects each one that arrives from now on: the process is about to end, and a request
     * without a response would be lost.
     */
    public void failAll() {
        assert loop.inEventLoop();
        terminating = true;
        requests.snapshot().forEach(this::failIfOpen);
    }

    @Override
    public void endpointsUpdated(UpdateKind kind, List<ListedEndpoint> listed) {
        assert loop.inEventLoop();
        List<UpstreamAttempt> unsent = kind == UpdateKind.POLL_FAILED ? List.of() : upstream.applyUpdate(kind, listed);
        events.deliver(new Event.EndpointUpdate(
                kind, listed.stream().map(ListedEndpoint::endpoint).toList()));
        // Only now: the load balancer knows the list by the time it retries them, and chooses other endpoints.
        unsent.forEach(attempt -> attempt.abort(AttemptOutcome.NOT_SENT));
    }

    private void failIfOpen(DispatchedRequest request) {
        if (request.isOpen()) {
            requests.answer(request, ResponseSink::sendFailure);
            abandon(request);
        }
    }

    /**
     * Nothing more is owed to a client: an attempt that has not been written completely is not written at all. One that has
     * been written ends only if the load balancer cancels it, which the settings may forbid.
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

    /** An error in the load balancer costs the request that the event concerned, and no other. */
    private void loadBalancerFailed(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            requests.answerIfOpen(arrived.requestId(), ResponseSink::sendFailure);
        } else if (event instanceof Event.AttemptEnded ended) {
            requests.answerIfOpen(ended.requestId(), ResponseSink::sendFailure);
        }
    }
}
