package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.Event.TimerFired;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.Limits;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;
import gaugegw.balancer.api.Tenant;
import gaugegw.balancer.api.UpdateKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Stands in for the proxy round one module: it feeds the module by hand and keeps what the module asked for. */
final class LoadBalancerDriver {
    static final long MS = 1_000;
    static final long S = 1_000_000;

    static final RequestClass READ =
            new RequestClass("read", 600 * MS, 2 * S, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final RequestClass PAY = new RequestClass(
            "pay", 400 * MS, 2 * S, 10, 0, Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE, 1200 * MS);
    static final RequestClass BOOK = new RequestClass(
            "book", 600 * MS, 2 * S, 2, 0, Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL, 12 * S);
    static final RequestClass NOTE = new RequestClass(
            "note", 600 * MS, 2 * S, 2, 0, Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL, 12 * S);
    static final RequestClass VOTE =
            new RequestClass("vote", 600 * MS, 2 * S, 3, 0, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0);

    /** No hints when to come back: a refusal then equals any other. */
    static final Limits LIMITS = new Limits(true, false, false, false, 4, 0, 0);

    static final SafetyLimits RULES = new SafetyLimits(0.4, 8 * S, 4, S, 10 * S, false);

    final EarliestDeadlineLoadBalancer policy;
    final List<Action> actions = new ArrayList<>();
    long now = 1000 * S;
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Set<SetTimer> fired = new HashSet<>();
    private int nextId;

    LoadBalancerDriver(BalancerSettings settings) {
        policy = new EarliestDeadlineLoadBalancer(settings);
    }

    LoadBalancerDriver() {
        this(settings(LIMITS, RULES));
    }

    static BalancerSettings settings(Limits limits, SafetyLimits rules, Tenant... tenants) {
        return new BalancerSettings(
                1,
                0,
                "a",
                4 * MS,
                List.of(READ, PAY, BOOK, NOTE, VOTE),
                List.of(tenants),
                0.05,
                false,
                limits,
                rules,
                7);
    }

    static Endpoint backend(String id, String kind, String zone, int cell) {
        return new Endpoint(id, EndpointState.READY, kind, zone, cell, 0, 1);
    }

    static Endpoint backend(String id) {
        return backend(id, "std", "a", 1);
    }

    static Endpoint started(String id, long at) {
        return new Endpoint(id, EndpointState.READY, "std", "a", 1, at, 1);
    }

    static Endpoint in(EndpointState state, String id) {
        return new Endpoint(id, state, "std", "a", 1, 0, 1);
    }

    /** Feeds an event and returns what the module asked for because of it. */
    List<Action> feed(Event event) {
        int before = actions.size();
        policy.handle(now, event, action -> {
            actions.add(action);
            if (action instanceof StartAttempt s) {
                attempts.merge(s.requestId(), 1, Integer::sum);
            }
        });
        return List.copyOf(actions.subList(before, actions.size()));
    }

    void list(Endpoint... backends) {
        feed(new EndpointUpdate(UpdateKind.SNAPSHOT, List.of(backends)));
    }

    /** A request arrives; returns its id. */
    String arrive(RequestClass type) {
        return arrive(type, null);
    }

    String arrive(RequestClass type, String tenant) {
        String id = "r" + nextId++;
        feed(new RequestArrived(id, type.name(), tenant, null, type.deadlineUs(), false));
        return id;
    }

    /** The latest attempt of a request ends. */
    List<Action> end(String id, AttemptOutcome outcome, long latencyUs) {
        StartAttempt send = lastSend(id);
        return feed(new AttemptEnded(
                id, attempts.get(id) - 1, send.endpointId(), outcome, latencyUs, outcome == AttemptOutcome.SUCCESS));
    }

    List<Action> timer(String token) {
        return feed(new TimerFired(token));
    }

    /** Time passes: the timers asked for so far, and those asked for meanwhile, fire when they are due. */
    void run(long forUs) {
        long until = now + forUs;
        while (true) {
            var due = actions.stream()
                    .filter(a -> a instanceof SetTimer t && t.atUs() <= until && !fired.contains(t))
                    .map(a -> (SetTimer) a)
                    .min(java.util.Comparator.comparingLong(SetTimer::atUs));
            if (due.isEmpty()) {
                now = until;
                return;
            }
            fired.add(due.get());
            now = Math.max(now, due.get().atUs());
            timer(due.get().token());
        }
    }

    StartAttempt lastSend(String id) {
        StartAttempt last = null;
        for (Action action : actions) {
            if (action instanceof StartAttempt s && s.requestId().equals(id)) {
                last = s;
            }
        }
        return last;
    }

    int sends(String id) {
        return attempts.getOrDefault(id, 0);
    }

    /** A request arrives and is answered after a while; returns the backend that it went to. */
    String serve(RequestClass type, long latencyUs) {
        String id = arrive(type);
        now += latencyUs;
        end(id, AttemptOutcome.SUCCESS, latencyUs);
        return lastSend(id).endpointId();
    }

    boolean has(Action action) {
        return actions.contains(action);
    }
}
