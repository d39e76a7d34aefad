package gaugegw.proxy.dispatch;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Limits;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.proxy.discovery.EndpointUpdateListener;
import gaugegw.proxy.discovery.EndpointWatcher;
import gaugegw.proxy.discovery.ListedEndpoint;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.upstream.UpstreamClient;
import gaugegw.proxy.upstream.UpstreamResponse;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Stands between the module and the sockets: hands the module its events, one at a time, and carries out its actions.
 * It decides nothing. All of it runs on the one event loop.
 */
public final class RequestDispatcher implements EndpointUpdateListener {
    /** A request and its attempts, kept until it is answered and no attempt is out. */
    private static final class DispatchedRequest {
        private final ClientRequest clientRequest;
        private final ResponseSink responseSink;
        /** By their numbers; null where the attempt was never sent. */
        private final List<UpstreamClient.UpstreamAttempt> attempts = new ArrayList<>(2);

        private int attemptsInFlight;
        private boolean answered;
        private Future<?> overdueTimer;

        DispatchedRequest(ClientRequest incoming, ResponseSink reply) {
            this.clientRequest = incoming;
            this.responseSink = reply;
        }
    }

    /** How long after its deadline a request is answered by the proxy, if the module has not: the module goes first. */
    private static final long OVERDUE_ANSWER_DELAY_US = 2_000;

    private final Clock clock;
    private final EventLoop loop;
    private final RateLimitedLog log;
    private final Limits limits;
    private final LoadBalancer loadBalancer;
    private final UpstreamClient backends;
    private final Map<String, DispatchedRequest> requests = new HashMap<>();
    private final Queue<Event> events = new ArrayDeque<>();
    private final List<Action> actions = new ArrayList<>();
    private EndpointWatcher endpointWatcher;
    private boolean handling;
    private boolean terminating;

    public RequestDispatcher(
            Clock clock,
            EventLoop loop,
            RateLimitedLog log,
            BalancerSettings settings,
            LoadBalancer module,
            UpstreamClient backends) {
        this.clock = clock;
        this.loop = loop;
        this.log = log;
        this.limits = settings.limits();
        this.loadBalancer = module;
        this.backends = backends;
    }

    public void setEndpointWatcher(EndpointWatcher watcher) {
        endpointWatcher = watcher;
    }

    /** Returns the number of requests that still want an answer or have attempts out. */
    public int openRequests() {
        return requests.size();
    }

    public boolean isServing(String id) {
        return requests.containsKey(id);
    }

    // Events

    public void requestArrived(ClientRequest incoming, ResponseSink reply) {
        long now = clock.now();
        if (terminating) {
            reply.rejected(0);
            return;
        }
        if (now >= incoming.deadlineUs()) {
            reply.failed();
            return;
        }
        var r = new DispatchedRequest(incoming, reply);
        requests.put(incoming.id(), r);
        r.overdueTimer = loop.schedule(
                () -> answerOverdue(r), incoming.deadlineUs() + OVERDUE_ANSWER_DELAY_US - now, TimeUnit.MICROSECONDS);
        deliver(new Event.RequestArrived(
                incoming.id(),
                incoming.requestClass(),
                incoming.tenant(),
                incoming.key(),
                incoming.deadlineUs() - now,
                incoming.retry()));
    }

    /** The client has closed its connection before it had an answer. */
    public void clientDisconnected(String id) {
        DispatchedRequest r = requests.get(id);
        if (r != null && !r.answered) {
            markAnswered(r);
            abandonRequest(r);
        }
    }

    /** Nothing more is owed to a client. What has not gone out whole need not, even where the module may cancel nothing. */
    private void abandonRequest(DispatchedRequest r) {
        deliver(new Event.ClientDisconnected(r.clientRequest.id()));
        // A copy, as an end may bring the next attempt; not List.copyOf, which takes no null.
        new ArrayList<>(r.attempts).forEach(a -> {
            if (a != null && !a.written()) {
                a.abort(AttemptOutcome.NOT_SENT);
            }
        });
        removeIfComplete(r);
    }

    /** Guards against a module that never answers: whatever happens, the client hears of its request in time. */
    private void answerOverdue(DispatchedRequest r) {
        if (!r.answered) {
            answer(r, ResponseSink::failed);
            abandonRequest(r);
        }
    }

    /** The process is about to end: whatever still waits, or comes, is answered now, or it would be lost. */
    public void failAll() {
        terminating = true;
        List.copyOf(requests.values()).forEach(this::answerOverdue);
    }

    /** Discovery's news, or {@link UpdateKind#POLL_FAILED} where a call has brought none. */
    @Override
    public void endpointsUpdated(UpdateKind kind, List<ListedEndpoint> listed) {
        List<UpstreamClient.UpstreamAttempt> unsent =
                kind == UpdateKind.POLL_FAILED ? List.of() : backends.update(kind, listed);
        deliver(new Event.EndpointUpdate(
                kind, listed.stream().map(ListedEndpoint::endpoint).toList()));
        // The module has heard why by now, and sends them elsewhere.
        unsent.forEach(a -> a.abort(AttemptOutcome.NOT_SENT));
    }

    private void attemptEnded(
            DispatchedRequest r,
            int number,
            String backend,
            AttemptOutcome outcome,
            long latencyUs,
            UpstreamResponse answer) {
        r.attemptsInFlight--;
        if (outcome == AttemptOutcome.SUCCESS && !r.answered) {
            answer(r, reply -> reply.served(answer));
        } else if (answer != null) {
            answer.body().release();
        }
        deliver(new Event.AttemptEnded(r.clientRequest.id(), number, backend, outcome, latencyUs, r.answered));
        removeIfComplete(r);
    }

    /** Gives the one answer; where that goes wrong it is a failure, as the request is taken all the same. */
    private void answer(DispatchedRequest r, Consumer<ResponseSink> answer) {
        markAnswered(r);
        try {
            answer.accept(r.responseSink);
        } catch (RuntimeException e) {
            log.failure("could not answer " + r.clientRequest.id(), e);
            r.responseSink.failed();
        }
    }

    private void markAnswered(DispatchedRequest r) {
        r.answered = true;
        r.overdueTimer.cancel(false);
    }

    private void removeIfComplete(DispatchedRequest r) {
        if (r.answered && r.attemptsInFlight == 0) {
            requests.remove(r.clientRequest.id(), r);
        }
    }

    /** Hands events over one by one: an action may bring the next event, which waits until all of them are done. */
    private void deliver(Event event) {
        events.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                handle(next);
            }
        } finally {
            handling = false;
        }
    }

    private void handle(Event event) {
        try {
            loadBalancer.handle(clock.now(), event, actions::add);
        } catch (RuntimeException e) {
            log.failure("the module failed on " + event, e);
            failRequestOf(event);
        }
        for (Action action : actions) {
            try {
                execute(action);
            } catch (RuntimeException e) {
                log.failure("could not carry out " + action, e);
            }
        }
        actions.clear();
    }

    /** An error costs the request that it came with, not the proxy and all the others that it holds. */
    private void failRequestOf(Event event) {
        String id = event instanceof Event.RequestArrived a
                ? a.requestId()
                : event instanceof Event.AttemptEnded a ? a.requestId() : null;
        if (id != null) {
            answerIfOpen(id, ResponseSink::failed);
        }
    }

    // Actions

    private void execute(Action action) {
        if (action instanceof Action.StartAttempt a) {
            send(a);
        } else if (action instanceof Action.SetTimer a) {
            loop.schedule(
                    () -> deliver(new Event.TimerFired(a.token())),
                    Math.max(0, a.atUs() - clock.now()),
                    TimeUnit.MICROSECONDS);
        } else if (action instanceof Action.Reject a) {
            answerIfOpen(a.requestId(), reply -> reply.rejected(a.retryAfterUs()));
        } else if (action instanceof Action.Fail a) {
            answerIfOpen(a.requestId(), ResponseSink::failed);
        } else if (action instanceof Action.CancelAttempt a) {
            DispatchedRequest r = requests.get(a.requestId());
            UpstreamClient.UpstreamAttempt attempt =
                    r == null || a.attempt() >= r.attempts.size() ? null : r.attempts.get(a.attempt());
            if (attempt != null && limits.cancellation()) {
                attempt.abort(AttemptOutcome.CANCELLED);
            }
        } else if (action instanceof Action.CloseIdleConnections a) {
            backends.closeIdleConnections(a.endpointId());
        } else if (action instanceof Action.WatchEndpoints a) {
            endpointWatcher.watch(a.enabled());
        } else if (action instanceof Action.FetchEndpoints) {
            endpointWatcher.fetch();
        } else if (action instanceof Action.LogMessage a) {
            log.line(a.text());
        } else {
            // The module never probes, and where this proxy runs it may not.
            throw new UnsupportedOperationException("no such action here");
        }
    }

    private void answerIfOpen(String id, Consumer<ResponseSink> answer) {
        DispatchedRequest r = requests.get(id);
        if (r != null && !r.answered) {
            answer(r, answer);
            removeIfComplete(r);
        }
    }

    private void send(Action.StartAttempt send) {
        DispatchedRequest r = requests.get(send.requestId());
        if (r == null) {
            return;
        }
        int number = r.attempts.size();
        long left = r.clientRequest.deadlineUs() - clock.now();
        long timeoutUs = send.timeoutUs() == 0 ? left : Math.min(send.timeoutUs(), left);
        UpstreamClient.UpstreamAttempt attempt = null;
        boolean allowed =
                number < limits.maxAttempts() && timeoutUs > 0 && (r.attemptsInFlight == 0 || limits.hedging());
        if (!r.answered && allowed) {
            r.responseSink.pollClient();
        }
        if (!r.answered && allowed) {
            attempt = backends.newAttempt(
                    send.endpointId(),
                    r.clientRequest.upstreamRequest(),
                    timeoutUs,
                    r.responseSink::pollClient,
                    (outcome, latencyUs, answer) ->
                            attemptEnded(r, number, send.endpointId(), outcome, latencyUs, answer));
        }
        r.attempts.add(attempt);
        if (attempt == null) {
            deliver(new Event.AttemptEnded(
                    send.requestId(), number, send.endpointId(), AttemptOutcome.NOT_SENT, 0, r.answered));
        } else {
            r.attemptsInFlight++;
            attempt.start();
        }
    }
}
