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
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Drives one load balancer in place of the proxy: passes the events of a test to it and records its actions. The clock
 * moves only when a test sets {@link #nowUs} or calls {@link #advance} or {@link #serve}.
 */
final class LoadBalancerDriver {
    final EarliestDeadlineLoadBalancer balancer;

    /** All actions so far, in the order in which they were emitted. */
    final List<Action> actions = new ArrayList<>();

    /** The current time of the simulated clock, in microseconds. */
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

    /** Passes an event to the load balancer and returns the resulting actions. */
    List<Action> handle(Event event) {
        int before = actions.size();
        balancer.handle(nowUs, event, action -> {
            actions.add(action);
            if (action instanceof StartAttempt start) {
                attemptCounts.merge(start.requestId(), 1, Integer::sum);
            }
        });
        return List.copyOf(actions.subList(before, actions.size()));
    }

    /** Updates the endpoints with a complete list. */
    List<Action> snapshot(Endpoint... endpoints) {
        return handle(new EndpointUpdate(UpdateKind.SNAPSHOT, List.of(endpoints)));
    }

    /** Updates the endpoints with the entries that have changed. */
    List<Action> delta(Endpoint... endpoints) {
        return handle(new EndpointUpdate(UpdateKind.DELTA, List.of(endpoints)));
    }

    /** Updates the endpoints with the list that the proxy cached before its restart. */
    List<Action> cached(Endpoint... endpoints) {
        return handle(new EndpointUpdate(UpdateKind.CACHED, List.of(endpoints)));
    }

    /** Reports a failed call to discovery. */
    List<Action> pollFailed() {
        return handle(new EndpointUpdate(UpdateKind.POLL_FAILED, List.of()));
    }

    /** Submits a request without a tenant, whose timeout is the deadline of its class, and returns its id. */
    String submit(RequestClass requestClass) {
        return submit(requestClass, null);
    }

    /** Submits a request of a tenant, whose timeout is the deadline of its class, and returns its id. */
    String submit(RequestClass requestClass, String tenant) {
        String id = "r" + nextRequestNumber++;
        handle(new RequestArrived(id, requestClass.name(), tenant, null, requestClass.deadlineUs(), false));
        return id;
    }

    /** Ends the latest attempt of a request. A success ends the request as well. */
    List<Action> endAttempt(String requestId, AttemptOutcome outcome, long latencyUs) {
        return handle(new AttemptEnded(
                requestId,
                attemptCounts.get(requestId) - 1,
                lastAttempt(requestId).endpointId(),
                outcome,
                latencyUs,
                outcome == AttemptOutcome.SUCCESS));
    }

    /** Submits a request that succeeds after the given latency, and returns the id of the endpoint that served it. */
    String serve(RequestClass requestClass, long latencyUs) {
        String id = submit(requestClass);
        nowUs += latencyUs;
        endAttempt(id, AttemptOutcome.SUCCESS, latencyUs);
        return lastAttempt(id).endpointId();
    }

    List<Action> fireTimer(String token) {
        return handle(new TimerFired(token));
    }

    /** Advances the clock. Each timer fires when it is due, including timers that are set in the meantime. */
    void advance(long durationUs) {
        long untilUs = nowUs + durationUs;
        for (Optional<SetTimer> due = nextTimer(untilUs); due.isPresent(); due = nextTimer(untilUs)) {
            SetTimer timer = due.get();
            firedTimers.add(timer);
            nowUs = Math.max(nowUs, timer.atUs());
            fireTimer(timer.token());
        }
        nowUs = untilUs;
    }

    private Optional<SetTimer> nextTimer(long untilUs) {
        return actions.stream()
                .filter(action ->
                        action instanceof SetTimer timer && timer.atUs() <= untilUs && !firedTimers.contains(timer))
                .map(SetTimer.class::cast)
                .min(Comparator.comparingLong(SetTimer::atUs));
    }

    /** Returns the latest attempt of a request, or null if there is none. */
    StartAttempt lastAttempt(String requestId) {
        StartAttempt last = null;
        for (Action action : actions) {
            if (action instanceof StartAttempt start && start.requestId().equals(requestId)) {
                last = start;
            }
        }
        return last;
    }

    /** Returns the number of attempts started for a request. */
    int attemptCount(String requestId) {
        return attemptCounts.getOrDefault(requestId, 0);
    }

    /** Returns the number of attempts started for all requests. */
    long startedAttempts() {
        return actions.stream().filter(action -> action instanceof StartAttempt).count();
    }

    boolean hasEmitted(Action action) {
        return actions.contains(action);
    }
}
