package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Action.CancelAttempt;
import gaugegw.balancer.api.Action.Fail;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.Event.TimerFired;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.Tenant;
import gaugegw.balancer.api.UpdateKind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Decides where one proxy sends its requests. Settings, events and actions are in Balancer.java.
 *
 * <p>A request goes to the eligible backend with the earliest deadline (currentTime + 1) / weight, with
 * weight = c / sum of c and c = 1 / response time of the backend's kind, as this proxy has seen it.
 */
public final class EarliestDeadlineLoadBalancer implements LoadBalancer {

    /** Further attempts allowed for each request, and how many may be saved up. */
    private static final double RETRY_RATE = 0.2;

    private static final double RETRY_BURST = 10;
    /** An attempt is cut off after this multiple of the time to its aim: sooner, its work goes on unseen. */
    private static final double LATE = 2;

    private final BalancerSettings settings;
    private final Map<String, Quota> quotas = new HashMap<>();
    private final Map<String, Long> leastLeft = new HashMap<>();
    private final EndpointMembership membership;
    private final EndpointWeights weights;
    private final LoadMeasurement load;
    private final DuplicateExecutionGuard guard;
    private final ConcurrencyLimiter limiter;
    private final EarliestDeadlineSelector selector;
    private final DiscoveryPolling polling;
    private boolean started;
    private final Map<String, PendingRequest> requests = new HashMap<>();
    private final ControlPeriods periods;
    private final RequestFlows flows;
    private final OutcomeRates rates = new OutcomeRates();
    private final long refreshUs;
    private double retryTokens = RETRY_BURST;
    /** How long an answer may take at the limit, in microseconds. */
    private final long latencyBudgetUs;

    private final List<PendingRequest> held = new ArrayList<>();

    private long wakeAt = Long.MIN_VALUE;
    private long now;
    private Consumer<Action> out;

    /** Starts an instance that knows nothing but its settings. */
    public EarliestDeadlineLoadBalancer(BalancerSettings settings) {
        this.settings = settings;
        settings.tenants().forEach(t -> quotas.put(t.name(), new Quota(t, settings, quotas.size())));
        this.flows = new RequestFlows(settings, quotas.size());
        this.periods = ControlPeriods.of(settings);
        this.latencyBudgetUs = periods.latencyBudgetUs();
        this.refreshUs = periods.refreshUs();
        this.membership = new EndpointMembership(settings, flows.count(), periods);
        this.weights = new EndpointWeights(membership, periods);
        this.load = new LoadMeasurement(periods);
        this.guard = new DuplicateExecutionGuard(settings);
        this.limiter = new ConcurrencyLimiter(settings.proxyCount(), periods, membership, load, rates);
        var slowStart = new SlowStartBudget(settings, membership, load);
        this.selector =
                new EarliestDeadlineSelector(settings.proxyCount(), membership, guard, slowStart, load, limiter);
        this.polling = new DiscoveryPolling(settings);
    }

    /** What a tenant may still send through this proxy as part of its share. */
    private static final class Quota {
        private final int number;
        private final double perUs;
        private double left;
        private long at;

        Quota(Tenant tenant, BalancerSettings settings, int number) {
            this.number = number;
            this.perUs = tenant.quotaPerSecond() / 1e6 / settings.proxyCount();
        }
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> actions) {
        now = nowUs;
        limiter.update(now);
        out = actions;
        if (!started) {
            started = true;
            load.start(now);
            polling.poll(now, out);
        }
        if (event instanceof RequestArrived e) {
            arrival(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof TimerFired e) {
            polling.timerFired(e.token(), now, out);
        } else if (event instanceof EndpointUpdate e) {
            endpointsUpdated(e);
        } else if (event instanceof ClientDisconnected e && requests.containsKey(e.requestId())) {
            close(requests.get(e.requestId()));
        }
        release();
    }

    /** How much it keeps of backends and requests; a test looks whether that grows. */
    int trackedStateSize() {
        return membership.size() + requests.size();
    }

    // Membership

    private void endpointsUpdated(EndpointUpdate update) {
        if (update.kind() == UpdateKind.POLL_FAILED) {
            polling.callFailed(now, out);
            return;
        }
        if (update.kind() != UpdateKind.CACHED) {
            polling.listReceived();
        }
        membership.apply(update, now, out);
        weights.refresh(now);
    }

    // Pick

    private void arrival(RequestArrived a) {
        RequestClass type = flows.requestClass(a.requestClass());
        load.sampleIfDue(membership.ready().size(), now);
        weights.refreshIfDue(now);
        retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_RATE);
        Quota quota = quotas.get(a.tenant());
        int tenant = quota == null ? quotas.size() : quota.number;
        int flow = flows.flow(type, tenant);
        double worth = overShare(quota, a.retry()) ? settings.overQuotaWeightFraction() : 1;
        // A repeat that is left less than first tries get began so long ago: past its aim, it ranks as late.
        long least = leastLeft.merge(type.name(), a.retry() ? Long.MAX_VALUE : a.timeoutUs(), Math::min);
        long began = a.timeoutUs() < least ? now + a.timeoutUs() - type.deadlineUs() : now;
        worth *= type.priorityWeight() * (now < began + type.latencyObjectiveUs() ? 1 : type.lateWeightFraction());
        String key = settings.cacheAffinity() ? a.key() : null;
        long deadline = now + a.timeoutUs();
        long objectiveAt =
                type.lateWeightFraction() > 0 ? deadline : Math.min(deadline, began + type.latencyObjectiveUs());
        var r = new PendingRequest(a.requestId(), type, flow, key, worth, objectiveAt, deadline);
        requests.put(r.id, r);
        hold(r);
    }

    /** Returns the backend that is likely warm for a key: all proxies find the same one, by rendezvous hashing. */
    private EndpointRecord warmServer(String key) {
        return membership.ready().stream()
                .max(Comparator.comparingInt(s -> HashMixer.mix(key.hashCode() ^ s.id.hashCode())))
                .orElse(null);
    }

    private void send(PendingRequest r, EndpointRecord s) {
        s.virtualTime += 1;
        s.health.attemptStarted(r.flow, now);
        s.slowStartAllowance.use();
        // A slow answer is worth waiting for, but not long past its aim: silence takes up the room of others.
        long cutUs = now < r.objectiveAtUs ? (long) (LATE * (r.objectiveAtUs - now)) : Long.MAX_VALUE;
        var a = new AttemptRecord(s, now, Math.min(r.deadlineAtUs - now, cutUs));
        r.attemptStarted(a);
        limiter.attemptStarted(a);
        out.accept(new StartAttempt(r.id, s.id, a.timeoutUs));
    }

    // AttemptRecord outcome

    private void attemptEnded(AttemptEnded e) {
        PendingRequest r = requests.get(e.requestId());
        if (r == null || !r.isInFlight(e.attempt())) {
            return;
        }
        AttemptRecord a = r.attempts.get(e.attempt());
        EndpointRecord s = a.endpoint;
        r.attemptEnded(a, e.outcome());
        s.health.attemptEnded(r.flow, e.outcome(), now);
        limiter.attemptEnded(a);
        membership.closeIdleUnlessReady(s, out);
        boolean ok = e.outcome() == AttemptOutcome.SUCCESS;
        if (e.outcome() != AttemptOutcome.CANCELLED && e.outcome() != AttemptOutcome.NOT_SENT) {
            rates.recordAttempt(e.outcome());
            s.health.recordOutcome(r.flow, e.outcome(), rates.errorShare(), now);
            s.latency.record(
                    ok
                            ? e.latencyUs()
                            : e.outcome() == AttemptOutcome.ERROR ? r.requestClass.latencyObjectiveUs() : a.timeoutUs);
        }
        if (ok) {
            load.recordAnswer(e.latencyUs(), now);
            rates.recordSuccess();
        }
        if (r.answered || e.requestEnded()) {
            close(r);
        } else if (r.attemptsInFlight == 0) {
            retry(r);
        }
    }

    /** Forgets a request that is over once none of its attempts is out, and calls off those that are. */
    private void close(PendingRequest r) {
        if (!r.answered && settings.limits().cancellation()) {
            for (int i = 0; i < r.attempts.size(); i++) {
                if (r.attempts.get(i).isInFlight()) {
                    out.accept(new CancelAttempt(r.id, i));
                }
            }
        }
        r.answered = true;
        held.remove(r);
        if (r.attemptsInFlight == 0) {
            requests.remove(r.id);
        }
    }

    // Retry

    private void retry(PendingRequest r) {
        // A request that no backend may be sent is over: held, it would only take up room.
        if (now < r.objectiveAtUs
                && retryTokens >= 1
                && r.attempts.size() < settings.limits().maxAttempts()
                && membership.ready().stream().anyMatch(s -> guard.permitsAttempt(r, s, now))) {
            retryTokens -= 1;
            hold(r);
        } else {
            finish(r);
        }
    }

    // Refusal

    /** Returns whether a tenant is past this proxy's part of its share; a repeat was counted before. */
    private boolean overShare(Quota quota, boolean repeat) {
        if (quota == null) {
            return false;
        }
        quota.left = Math.min(quota.perUs * refreshUs, quota.left + quota.perUs * (now - quota.at));
        quota.at = now;
        if (quota.left < 1) {
            return true;
        }
        quota.left -= repeat ? 0 : 1;
        return false;
    }

    /** Queues a request, to be sent in this round if there is room: highest worth, then earliest aim. */
    private void hold(PendingRequest r) {
        // Sent at the last moment, it is to be answered in time: twice the latency budget ahead.
        r.giveUpAtUs =
                Math.min(r.objectiveAtUs - 2 * latencyBudgetUs, r.deadlineAtUs - 2 * settings.minEventIntervalUs());
        r.lowerPriorityShare = flows.shareBelow(r.priorityWeight);
        r.affinityEndpoint = r.affinityKey == null ? null : warmServer(r.affinityKey);
        int i = held.size();
        while (i > 0 && outranks(r, held.get(i - 1))) {
            i--;
        }
        held.add(i, r);
    }

    private static boolean outranks(PendingRequest r, PendingRequest other) {
        return r.priorityWeight > other.priorityWeight
                || (r.priorityWeight == other.priorityWeight && r.objectiveAtUs < other.objectiveAtUs);
    }

    /** Sends what there is room for; the rest waits, if it can still be in time and is not too much. */
    private void release() {
        if (held.isEmpty()) {
            return;
        }
        // A key away from its warm backend costs its full work: under overload, the very capacity that is missing.
        for (int i = 0;
                i < held.size()
                        && held.get(i).priorityWeight == held.get(0).priorityWeight
                        && limiter.permits(held.get(i), now); ) {
            PendingRequest r = held.get(i);
            if (r.affinityEndpoint != null && selector.select(r, now) == r.affinityEndpoint) {
                held.remove(i);
                send(r, r.affinityEndpoint);
            } else {
                i++;
            }
        }
        // A flow that must wait for the backends that still answer it keeps no other from the rest.
        var waiting = new boolean[flows.count()];
        for (int i = 0; i < held.size() && limiter.permits(held.get(i), now); ) {
            PendingRequest r = held.get(i);
            EndpointRecord s = waiting[r.flow] && r.attempts.isEmpty() ? null : selector.select(r, now);
            if (s != null) {
                held.remove(i);
                send(r, s);
            } else {
                waiting[r.flow] |= r.attempts.isEmpty();
                i++;
            }
        }
        for (int i = held.size() - 1; i >= 0; i--) {
            PendingRequest r = held.get(i);
            if (r.giveUpAtUs <= now || membership.ready().isEmpty() || i >= Math.max(limiter.limit(), 1)) {
                held.remove(i);
                finish(r);
            }
        }
        // Rule 1: whatever is held has a timer ahead of its deadline; sooner, as time brings room too.
        long next = held.stream().mapToLong(r -> r.giveUpAtUs).min().orElse(Long.MAX_VALUE);
        if (!held.isEmpty() && (now >= wakeAt || next < wakeAt)) {
            wakeAt = Math.min(now + latencyBudgetUs / 4, next);
            out.accept(new SetTimer(wakeAt, "held"));
        }
    }

    /** Gives the final answer: a refusal where a repeat is harmless, else a failure. */
    private void finish(PendingRequest r) {
        rates.recordRejection();
        out.accept(guard.isClientRetryHarmless(r) ? new Reject(r.id, comeBackUs(r)) : new Fail(r.id));
        close(r);
    }

    /** When there may be room: what is held now has been answered by then. Not in step with the others refused. */
    private long comeBackUs(PendingRequest r) {
        double heldUs = membership.ready().isEmpty()
                ? refreshUs
                : held.size() / Math.max(load.answersPerUs(now), 1.0 / refreshUs);
        double spread = 1 - (HashMixer.mix(r.id.hashCode()) >>> 16) / 262_144.0;
        return (long) (spread
                * Math.min(Math.max(latencyBudgetUs, heldUs), settings.limits().maxRetryAfterUs()));
    }
}
