package gaugegw.balancer;

import static gaugegw.balancer.testing.TestSettings.SECONDS;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.Event.TimerFired;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.UpdateKind;
import gaugegw.balancer.testing.TestSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Stands in for the proxy round one module: it feeds the module by hand and keeps what the module asked for. */
final class LoadBalancerDriver {
    final EarliestDeadlineLoadBalancer balancer;
    final List<Action> actions = new ArrayList<>();
    long nowUs = 1000 * SECONDS;
    private final Map<String, Integer> attemptCounts = new HashMap<>();
    private final Set<SetTimer> firedTimers = new HashSet<>();
    private int nextRequestNumber;

    LoadBalancerDriver(BalancerSettings settings) {
        balancer = new EarliestDeadlineLoadBalancer(settings);
    }

    LoadBalancerDriver() {
        this(TestSettings.settings().build());
    }

    /** Feeds an event and returns what the module asked for because of it. */
    List<Action> handle(Event event) {
        int before = actions.size();
        balancer.handle(nowUs, event, action -> {
            actions.add(action);
            if (action instanceof StartAttempt s) {
                attemptCounts.merge(s.requestId(), 1, Integer::sum);
            }
        });
        return List.copyOf(actions.subList(before, actions.size()));
    }

    void snapshot(Endpoint... backends) {
        handle(new EndpointUpdate(UpdateKind.SNAPSHOT, List.of(backends)));
    }

    /** A request arrives; returns its id. */
    String submit(RequestClass type) {
        return submit(type, null);
    }

    String submit(RequestClass type, String tenant) {
        String id = "r" + nextRequestNumber++;
        handle(new RequestArrived(id, type.name(), tenant, null, type.deadlineUs(), false));
        return id;
    }

    /** The latest attempt of a request ends. */
    List<Action> endAttempt(String id, AttemptOutcome outcome, long latencyUs) {
        StartAttempt send = lastAttempt(id);
        return handle(new AttemptEnded(
                id,
                attemptCounts.get(id) - 1,
                send.endpointId(),
                outcome,
                latencyUs,
                outcome == AttemptOutcome.SUCCESS));
    }

    List<Action> fireTimer(String token) {
        return handle(new TimerFired(token));
    }

    /** Time passes: the timers asked for so far, and those asked for meanwhile, fire when they are due. */
    void advance(long forUs) {
        long until = nowUs + forUs;
        while (true) {
            var due = actions.stream()
                    .filter(a -> a instanceof SetTimer t && t.atUs() <= until && !firedTimers.contains(t))
                    .map(a -> (SetTimer) a)
                    .min(java.util.Comparator.comparingLong(SetTimer::atUs));
            if (due.isEmpty()) {
                nowUs = until;
                return;
            }
            firedTimers.add(due.get());
            nowUs = Math.max(nowUs, due.get().atUs());
            fireTimer(due.get().token());
        }
    }

    StartAttempt lastAttempt(String id) {
        StartAttempt last = null;
        for (Action action : actions) {
            if (action instanceof StartAttempt s && s.requestId().equals(id)) {
                last = s;
            }
        }
        return last;
    }

    int attemptCount(String id) {
        return attemptCounts.getOrDefault(id, 0);
    }

    /** A request arrives and is answered after a while; returns the backend that it went to. */
    String serve(RequestClass type, long latencyUs) {
        String id = submit(type);
        nowUs += latencyUs;
        endAttempt(id, AttemptOutcome.SUCCESS, latencyUs);
        return lastAttempt(id).endpointId();
    }

    boolean hasEmitted(Action action) {
        return actions.contains(action);
    }
}
