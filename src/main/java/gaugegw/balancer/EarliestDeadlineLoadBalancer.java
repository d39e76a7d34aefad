package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Action.CancelAttempt;
import gaugegw.balancer.api.Action.CloseIdleConnections;
import gaugegw.balancer.api.Action.Fail;
import gaugegw.balancer.api.Action.Reject;
import gaugegw.balancer.api.Action.SetTimer;
import gaugegw.balancer.api.Action.StartAttempt;
import gaugegw.balancer.api.Action.WatchEndpoints;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.AttemptEnded;
import gaugegw.balancer.api.Event.ClientDisconnected;
import gaugegw.balancer.api.Event.EndpointUpdate;
import gaugegw.balancer.api.Event.RequestArrived;
import gaugegw.balancer.api.Event.TimerFired;
import gaugegw.balancer.api.Idempotency;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.balancer.api.RequestClass;
import gaugegw.balancer.api.SafetyLimits;
import gaugegw.balancer.api.Tenant;
import gaugegw.balancer.api.UpdateKind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides where one proxy sends its requests. Settings, events and actions are in Balancer.java.
 *
 * <p>A request goes to the eligible backend with the earliest deadline (currentTime + 1) / weight, with
 * weight = c / sum of c and c = 1 / response time of the backend's kind, as this proxy has seen it.
 */
public final class EarliestDeadlineLoadBalancer implements LoadBalancer {

    /** The backend that is likely warm for a request's key counts as this many times its weight. */
    private static final double WARM_KEY_PREFERENCE = 4;
    /** A backend in the proxy's own zone counts as this many times its weight. */
    private static final double OWN_ZONE_PREFERENCE = 4;
    /** So many proxies share a backend, if there are no more proxies than backends. */
    private static final double PROXIES_PER_BACKEND = 3;
    /** A backend's c is never less than this part of the largest. */
    private static final double FLOOR = 0.05;
    /** Part of the cold budget that is used: requests differ in size and capacity is a guess. */
    private static final double COLD_MARGIN = 0.4;
    /** But never less than this multiple of the unloaded latency, or backends idle and the limit can't grow. */
    private static final double LATENCY_HEADROOM = 1.2;
    /** An attempt in flight for this many times the mean of answers hangs, or is one of a costly few: it does not count. */
    private static final double HUNG_LATENCY_MULTIPLE = 8;
    /** But it counts where time-outs are more than this part of the outcomes: then it is the load that holds them up. */
    private static final double HUNG_MAX_TIMEOUT_SHARE = 0.08;
    /** Attempts in flight at each backend, from all proxies, that are never too many; under 3 it is a mean. */
    private static final double MIN_ATTEMPTS_PER_BACKEND = 3;
    /** Further attempts allowed for each request, and how many may be saved up. */
    private static final double RETRY_RATE = 0.2;

    private static final double RETRY_BURST = 10;
    /** An attempt is cut off after this multiple of the time to its aim: sooner, its work goes on unseen. */
    private static final double LATE = 2;

    private final BalancerSettings settings;
    private final SafetyLimits rules;
    private final Random random;
    private final Map<String, Quota> quotas = new HashMap<>();
    private final Map<String, Long> leastLeft = new HashMap<>();
    private final Map<String, LatencyAverage> kinds = new HashMap<>();
    private final LatencyAverage all = new LatencyAverage();
    private final Map<String, EndpointRecord> byId = new HashMap<>();
    private final List<EndpointRecord> servers = new ArrayList<>();
    private final Map<String, PendingRequest> requests = new HashMap<>();
    private final ControlPeriods periods;
    private final RequestFlows flows;
    private final ErrorRateTracker errorRates = new ErrorRateTracker();
    private final long refreshUs;
    private long refreshAt = Long.MIN_VALUE;
    private double retryTokens = RETRY_BURST;
    private long askAt = Long.MIN_VALUE;
    private final DiscoveryBackoff askBackoff;
    private int outstanding;
    private final Set<AttemptRecord> inOrder = new LinkedHashSet<>();
    /** How long an answer may take at the limit, in microseconds. */
    private final long latencyBudgetUs;

    private final List<PendingRequest> held = new ArrayList<>();
    /** Attempts that may be in flight, as of the event in hand. */
    private double attemptLimit;
    /** The limit that was left unused, as attempts times microseconds; below 0 where it was overdrawn. */
    private double unusedLimitUs;

    private double refused;
    private long unusedLimitAt;
    private long wakeAt = Long.MIN_VALUE;
    private double answersPerUs;
    private long measureAt = Long.MIN_VALUE;
    private int measurements;
    /** Least mean latency of an answer so far, in microseconds; 0 until measured. */
    private double unloadedLatencyUs;
    /** Answers of one backend to this proxy, in requests per microsecond, in the mean over all listed. */
    private double backendThroughputPerUs;

    private long answersAt;
    private long now;
    private Consumer<Action> out;

    /** Starts an instance that knows nothing but its settings. */
    public EarliestDeadlineLoadBalancer(BalancerSettings settings) {
        this.settings = settings;
        this.rules = settings.safetyLimits();
        this.random = new Random(settings.seed());
        this.askBackoff = new DiscoveryBackoff(random, rules.pollIntervalUs());
        settings.tenants().forEach(t -> quotas.put(t.name(), new Quota(t, settings, quotas.size())));
        this.flows = new RequestFlows(settings, quotas.size());
        this.periods = ControlPeriods.of(settings);
        this.latencyBudgetUs = periods.latencyBudgetUs();
        this.refreshUs = periods.refreshUs();
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
        attemptLimit = admissionLimit();
        // One of hundreds of proxies may have less than one attempt out: in the mean of a time.
        unusedLimitUs = Math.min(
                attemptLimit * refreshUs, unusedLimitUs + (attemptLimit - countedAttempts()) * (now - unusedLimitAt));
        unusedLimitAt = now;
        out = actions;
        if (askAt == Long.MIN_VALUE) {
            measureAt = now + refreshUs;
            ask();
        }
        if (event instanceof RequestArrived e) {
            arrival(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof TimerFired e && e.token().equals("ask") && now >= askAt) {
            ask();
        } else if (event instanceof EndpointUpdate e) {
            members(e);
        } else if (event instanceof ClientDisconnected e && requests.containsKey(e.requestId())) {
            close(requests.get(e.requestId()));
        }
        release();
    }

    /** How much it keeps of backends and requests; a test looks whether that grows. */
    int trackedStateSize() {
        return byId.size() + requests.size();
    }

    // Membership

    private void members(EndpointUpdate news) {
        if (news.kind() == UpdateKind.POLL_FAILED) {
            long delayUs = askBackoff.nextDelayUs(now);
            // A further failure never puts off a call that is due sooner.
            if (now + delayUs < askAt) {
                askIn(delayUs);
            }
            return;
        }
        if (news.kind() != UpdateKind.CACHED) {
            askAt = Long.MAX_VALUE;
        }
        List<EndpointRecord> before = List.copyOf(servers);
        if (news.kind() != UpdateKind.DELTA) {
            servers.forEach(EndpointRecord::markNotReady);
            servers.clear();
        }
        for (Endpoint b : news.endpoints()) {
            EndpointRecord s = byId.get(b.id());
            var kind = kinds.computeIfAbsent(String.valueOf(b.kind()), name -> new LatencyAverage());
            if (s == null || b.startedAtUs() != s.listed().startedAtUs()) {
                if (s != null) {
                    s.markNotReady();
                    servers.remove(s);
                }
                s = new EndpointRecord(
                        b,
                        new EndpointHealth(flows.count(), periods),
                        new EndpointLatency(kind),
                        SlowStartAllowance.of(b, settings.proxyIndex(), now));
                byId.put(s.id(), s);
            }
            s.update(b, settings.zone().equals(b.zone()));
            s.latency().setKind(kind);
            servers.remove(s);
            if (s.isReady()) {
                servers.add(s);
            }
            if (b.state() == EndpointState.GONE) {
                byId.remove(s.id());
            }
        }
        before.forEach(this::releaseUnlessReady);
        if (news.kind() != UpdateKind.DELTA) {
            byId.values().retainAll(servers);
        }
        refresh();
    }

    /** Rule 6: no idle connection is kept to a backend that drains or is gone: nobody has a use for it. */
    private void releaseUnlessReady(EndpointRecord s) {
        if (!s.isReady()) {
            out.accept(new CloseIdleConnections(s.id()));
        }
    }

    /**
     * Puts the list in this proxy's order. Where proxies outnumber backends, as many as there are backends
     * stand evenly along the list, by weight, as many in another order: no two stand and fall back alike.
     */
    private void order() {
        int rounds = Math.max(1, settings.proxyCount() / Math.max(1, servers.size()));
        int shuffle = HashMixer.mix(settings.proxyIndex() % rounds);
        servers.sort(Comparator.comparing((EndpointRecord s) -> HashMixer.mix(s.id().hashCode() ^ shuffle)));
        int place = settings.proxyIndex() / rounds;
        double at = place * (double) rounds / settings.proxyCount();
        int first = 0;
        while (first < servers.size() - 1 && at > servers.get(first).weight() - 1e-9) {
            at -= servers.get(first++).weight();
        }
        Collections.rotate(servers, -first);
    }

    /** Guards against backends hung, dead, slow or ill for some requests only, whatever the cause. */
    private boolean isHealthy(EndpointRecord s, PendingRequest r) {
        return s.health().isHealthy(r.flow(), s.latency().kind().meanUs(), now);
    }

    /** Returns whether a failure has shown that a backend is ill, for all requests or for those of this flow. */
    private boolean inBackoff(EndpointRecord s, PendingRequest r) {
        return s.health().isBackingOff(r.flow(), now);
    }

    /** Returns the part of its capacity that a backend is sure to have: 1 once it is warm. */
    private double warmUpFraction(EndpointRecord s) {
        long started = s.listed().startedAtUs();
        if (started <= 0 || now - started >= rules.slowStartUs()) {
            return 1;
        }
        return rules.initialCapacity()
                + (1 - rules.initialCapacity()) * Math.max(0, now - started) / rules.slowStartUs();
    }

    // Weights

    /** Sets w = c / sum of c and starts the earliest-deadline order afresh, once in twice the longest aim. */
    private void refresh() {
        refreshAt = now + refreshUs;
        // A kind without answers yet goes by its list weight, in the unit of the kinds that have some.
        double scale = servers.stream()
                .filter(s -> s.latency().kind().hasSamples())
                .mapToDouble(s -> 1 / (s.latency().kind().meanUs() * s.listed().weight()))
                .average()
                .orElse(1);
        servers.forEach(s -> s.setWeight(
                s.latency().kind().hasSamples()
                        ? 1 / s.latency().expectedUs()
                        : s.listed().weight() * scale));
        double floor =
                FLOOR * servers.stream().mapToDouble(s -> s.weight()).max().orElse(1);
        double sum =
                servers.stream().mapToDouble(s -> Math.max(s.weight(), floor)).sum();
        for (EndpointRecord s : servers) {
            s.setWeight(Math.max(s.weight(), floor) / sum);
            s.resetVirtualTime();
            s.latency().decayOwnSamples();
        }
        order();
    }

    /**
     * Measures the unloaded latency and the throughput of a backend, once in twice the longest aim. Its pace is not
     * that of the weights, which each list change starts afresh: in a release nothing would be measured.
     */
    private void measureLoad() {
        if (now < measureAt) {
            return;
        }
        measureAt = now + refreshUs;
        measurements++;
        // The least of the means: a mean under load holds time in queues.
        double mean = all.samples() < LatencyAverage.MEMORY_SAMPLES / 32 ? 0 : all.meanUs();
        unloadedLatencyUs = unloadedLatencyUs == 0 ? mean : Math.min(unloadedLatencyUs, mean);
        // Slowly: the answers of backends that have just left the list tell nothing of those that stay.
        double throughputPerUs = answerRate() / Math.max(1, servers.size());
        backendThroughputPerUs += (throughputPerUs - backendThroughputPerUs)
                * Math.max(1.0 / measurements, 1 - EndpointLatency.OWN_SAMPLES_KEPT);
    }

    // Pick

    private void arrival(RequestArrived a) {
        RequestClass type = flows.requestClass(a.requestClass());
        measureLoad();
        if (now >= refreshAt) {
            refresh();
        }
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
        requests.put(r.id(), r);
        hold(r);
    }

    private EndpointRecord pick(PendingRequest r) {
        EndpointRecord best = null;
        double earliest = Double.POSITIVE_INFINITY;
        int balance = 0;
        int standing = 0;
        // Far busier than others, a proxy takes a larger part: a backend for each attempt out in the mean.
        double left = Math.max(
                PROXIES_PER_BACKEND * servers.size() / settings.proxyCount(), answerRate() * unloadedLatencyUs);
        for (EndpointRecord s : servers) {
            if (!effectAllows(s, r)) {
                continue;
            }
            boolean trust = isHealthy(s, r);
            boolean failing = inBackoff(s, r);
            balance += trust ? 3 : -1;
            standing += failing ? -1 : 3;
            double deadline = (s.virtualTime() + 1)
                    / (s.weight()
                            * (s.isInProxyZone() ? OWN_ZONE_PREFERENCE : 1)
                            * (s == r.affinityEndpoint() ? WARM_KEY_PREFERENCE : 1));
            deadline *= r.hasTried(s) ? 1e6 : 1;
            // Where nearly all look ill, those that are merely slow come before those that fail.
            deadline *= trust ? 1 : failing ? 1e24 : 1e18;
            // Few have a cold backend in their part: it would get nothing of what the rest may send it.
            boolean open = !trust || left > 0 || warmUpFraction(s) < 1;
            if (open && deadline < earliest && isBelowItsShare(s) && coldBudget(s) >= 1) {
                best = s;
                earliest = deadline;
            }
            boolean sound = !s.latency().isSlowForKind();
            left -= settings.proxyCount() > PROXIES_PER_BACKEND && trust && sound && warmUpFraction(s) >= 1 ? 1 : 0;
        }
        // If nearly all look ill, it is this proxy that is cut off, or the load: then all are tried on. But where some
        // answer late and the others fail, those that fail are left alone.
        return best == null || (inBackoff(best, r) ? standing : balance) < 0 || isHealthy(best, r) ? best : null;
    }

    /** Returns the backend that is likely warm for a key: all proxies find the same one, by rendezvous hashing. */
    private EndpointRecord warmServer(String key) {
        return servers.stream()
                .max(Comparator.comparingInt(s -> HashMixer.mix(key.hashCode() ^ s.id().hashCode())))
                .orElse(null);
    }

    /**
     * A backend may have its weight's share of all attempts out, at least 1. Counters see sends alone; this
     * sees a backend that answers late or not at all, whatever the cause.
     */
    private boolean isBelowItsShare(EndpointRecord s) {
        return s.health().attemptsInFlight() < Math.max(1, Math.ceil(s.weight() * (outstanding + 1)));
    }

    /** Rule 2: a request that may have run goes only where its class lets it run again, and in time to begin there. */
    private boolean effectAllows(EndpointRecord s, PendingRequest r) {
        return r.attempts().isEmpty()
                || r.requestClass().idempotency() == Idempotency.IDEMPOTENT
                || r.attempts().stream()
                        .allMatch(a -> !mayHaveRun(a)
                                || (r.requestClass().idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                        && now + settings.limits().connectTimeoutUs()
                                                < a.startedAtUs()
                                                        + r.requestClass().deduplicationWindowUs()
                                        && sameGroup(
                                                r.requestClass().deduplicationScope(), a.startedTo(), s.listed())));
    }

    /** Rule 5: where 'full' is no proof, it counts as any other failure, for sends and refusals alike. */
    private boolean mayHaveRun(AttemptRecord a) {
        return a.isInFlight()
                || !a.outcome().provesNotExecuted()
                || (a.outcome() == AttemptOutcome.REJECTED && rules.rejectedMayHaveExecuted());
    }

    private static boolean sameGroup(DeduplicationScope scope, Endpoint a, Endpoint b) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> String.valueOf(a.zone()).equals(b.zone());
            case CELL -> a.cell() == b.cell();
        };
    }

    /**
     * Rule 4: returns how many requests a cold backend may still be sent by this proxy, unlimited once it is warm.
     * The capacity is a guess: what backends of its weight answer to this proxy, or one request at a time.
     */
    private double coldBudget(EndpointRecord s) {
        double warmUpFraction = warmUpFraction(s);
        if (warmUpFraction >= 1) {
            return Double.POSITIVE_INFINITY;
        }
        double requestUs = s.latency().kind().hasSamples()
                ? s.latency().kind().meanUs()
                : settings.requestClasses().get(0).latencyObjectiveUs();
        double capacityPerUs =
                Math.max(1 / (requestUs * settings.proxyCount()), backendThroughputPerUs * s.weight() * servers.size());
        double budgetPerUs = COLD_MARGIN * rules.overloadMultiple() * warmUpFraction * capacityPerUs;
        return s.slowStartAllowance().available(budgetPerUs, rules.overloadWindowUs(), now);
    }

    /**
     * Returns how many attempts may be in flight: what is answered within the latency budget, what keeps backends
     * busy, or a floor by their cores. Part of an attempt counts in the mean of a time.
     */
    private double admissionLimit() {
        double byRate = answerRate() * Math.max(latencyBudgetUs, LATENCY_HEADROOM * unloadedLatencyUs);
        // With less than a backend to itself, a proxy tells overload from chance by how much it refuses.
        double share = servers.size() / (double) settings.proxyCount();
        double cores = Math.min(
                MIN_ATTEMPTS_PER_BACKEND,
                Math.max(1, backendThroughputPerUs * settings.proxyCount() * unloadedLatencyUs));
        return Math.max(byRate, share * (MIN_ATTEMPTS_PER_BACKEND + (share < 1 ? cores * (1 - refused) - refused : 0)));
    }

    /** Attempts in flight that count against the limit: not hung ones, which would keep others from free backends. */
    private int countedAttempts() {
        if (all.samples() < LatencyAverage.MEMORY_SAMPLES / 32 || errorRates.timeoutShare() > HUNG_MAX_TIMEOUT_SHARE) {
            return outstanding;
        }
        double hungUs = Math.max(latencyBudgetUs, HUNG_LATENCY_MULTIPLE * all.meanUs());
        int hung = 0;
        for (AttemptRecord a : inOrder) {
            if (now - a.startedAtUs() < hungUs) {
                break;
            }
            hung++;
        }
        return outstanding - hung;
    }

    private double answerRate() {
        return answersPerUs * Math.exp((answersAt - now) / (double) refreshUs);
    }

    /** Whether one more may be in flight: the limit's whole part always, the rest as it was left unused. */
    private boolean mayAdmit(PendingRequest r) {
        // Dearer ones may overdraw: a proxy of hundreds never holds enough requests to order them by worth.
        int countedAttempts = countedAttempts();
        return countedAttempts < Math.max(attemptLimit, MIN_ATTEMPTS_PER_BACKEND)
                && (countedAttempts + 1 <= attemptLimit
                        || unusedLimitUs >= -r.lowerPriorityShare() * attemptLimit * refreshUs);
    }

    private void send(PendingRequest r, EndpointRecord s) {
        s.advanceVirtualTime();
        s.health().attemptStarted(r.flow(), now);
        outstanding++;
        s.slowStartAllowance().use();
        // A slow answer is worth waiting for, but not long past its aim: silence takes up the room of others.
        long cutUs = now < r.objectiveAtUs() ? (long) (LATE * (r.objectiveAtUs() - now)) : Long.MAX_VALUE;
        var a = new AttemptRecord(s, now, Math.min(r.deadlineAtUs() - now, cutUs));
        r.attemptStarted(a);
        inOrder.add(a);
        out.accept(new StartAttempt(r.id(), s.id(), a.timeoutUs()));
    }

    // AttemptRecord outcome

    private void attemptEnded(AttemptEnded e) {
        PendingRequest r = requests.get(e.requestId());
        if (r == null || !r.isInFlight(e.attempt())) {
            return;
        }
        AttemptRecord a = r.attempts().get(e.attempt());
        EndpointRecord s = a.endpoint();
        r.attemptEnded(a, e.outcome());
        s.health().attemptEnded(r.flow(), e.outcome(), now);
        outstanding--;
        inOrder.remove(a);
        releaseUnlessReady(s);
        boolean ok = e.outcome() == AttemptOutcome.SUCCESS;
        if (e.outcome() != AttemptOutcome.CANCELLED && e.outcome() != AttemptOutcome.NOT_SENT) {
            errorRates.record(e.outcome());
            s.health().recordOutcome(r.flow(), e.outcome(), errorRates.errorsAreCommon(), now);
            s.latency()
                    .record(
                            ok
                                    ? e.latencyUs()
                                    : e.outcome() == AttemptOutcome.ERROR
                                            ? r.requestClass().latencyObjectiveUs()
                                            : a.timeoutUs());
        }
        if (ok) {
            all.record(e.latencyUs());
            answersPerUs = answerRate() + 1.0 / refreshUs;
            answersAt = now;
            refused -= refused / 16;
        }
        if (r.isAnswered() || e.requestEnded()) {
            close(r);
        } else if (!r.hasAttemptsInFlight()) {
            retry(r);
        }
    }

    /** Forgets a request that is over once none of its attempts is out, and calls off those that are. */
    private void close(PendingRequest r) {
        if (!r.isAnswered() && settings.limits().cancellation()) {
            for (int i = 0; i < r.attempts().size(); i++) {
                if (r.attempts().get(i).isInFlight()) {
                    out.accept(new CancelAttempt(r.id(), i));
                }
            }
        }
        r.markAnswered();
        held.remove(r);
        if (!r.hasAttemptsInFlight()) {
            requests.remove(r.id());
        }
    }

    // Retry

    private void retry(PendingRequest r) {
        // A request that no backend may be sent is over: held, it would only take up room.
        if (now < r.objectiveAtUs()
                && retryTokens >= 1
                && r.attempts().size() < settings.limits().maxAttempts()
                && servers.stream().anyMatch(s -> effectAllows(s, r))) {
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
        r.queued(
                Math.min(r.objectiveAtUs() - 2 * latencyBudgetUs, r.deadlineAtUs() - 2 * settings.minEventIntervalUs()),
                flows.shareBelow(r.priorityWeight()),
                r.affinityKey() == null ? null : warmServer(r.affinityKey()));
        int i = held.size();
        while (i > 0 && r.outranks(held.get(i - 1))) {
            i--;
        }
        held.add(i, r);
    }

    /** Sends what there is room for; the rest waits, if it can still be in time and is not too much. */
    private void release() {
        if (held.isEmpty()) {
            return;
        }
        // A key away from its warm backend costs its full work: under overload, the very capacity that is missing.
        for (int i = 0;
                i < held.size()
                        && held.get(i).priorityWeight() == held.get(0).priorityWeight()
                        && mayAdmit(held.get(i)); ) {
            PendingRequest r = held.get(i);
            if (r.affinityEndpoint() != null && pick(r) == r.affinityEndpoint()) {
                held.remove(i);
                send(r, r.affinityEndpoint());
            } else {
                i++;
            }
        }
        // A flow that must wait for the backends that still answer it keeps no other from the rest.
        var waiting = new boolean[flows.count()];
        for (int i = 0; i < held.size() && mayAdmit(held.get(i)); ) {
            PendingRequest r = held.get(i);
            EndpointRecord s = waiting[r.flow()] && r.attempts().isEmpty() ? null : pick(r);
            if (s != null) {
                held.remove(i);
                send(r, s);
            } else {
                waiting[r.flow()] |= r.attempts().isEmpty();
                i++;
            }
        }
        for (int i = held.size() - 1; i >= 0; i--) {
            PendingRequest r = held.get(i);
            if (r.giveUpAtUs() <= now || servers.isEmpty() || i >= Math.max(attemptLimit, 1)) {
                held.remove(i);
                finish(r);
            }
        }
        // Rule 1: whatever is held has a timer ahead of its deadline; sooner, as time brings room too.
        long next = held.stream().mapToLong(PendingRequest::giveUpAtUs).min().orElse(Long.MAX_VALUE);
        if (!held.isEmpty() && (now >= wakeAt || next < wakeAt)) {
            wakeAt = Math.min(now + latencyBudgetUs / 4, next);
            out.accept(new SetTimer(wakeAt, "held"));
        }
    }

    /** Gives the final answer: a refusal where a repeat is harmless, else a failure. */
    private void finish(PendingRequest r) {
        refused += (1 - refused) / 16;
        boolean harmless = r.requestClass().idempotency() == Idempotency.IDEMPOTENT
                || (r.requestClass().idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && r.requestClass().deduplicationScope() == DeduplicationScope.ALL)
                || r.attempts().stream().noneMatch(this::mayHaveRun);
        out.accept(harmless ? new Reject(r.id(), comeBackUs(r)) : new Fail(r.id()));
        close(r);
    }

    /** When there may be room: what is held now has been answered by then. Not in step with the others refused. */
    private long comeBackUs(PendingRequest r) {
        double heldUs = servers.isEmpty() ? refreshUs : held.size() / Math.max(answerRate(), 1.0 / refreshUs);
        double spread = 1 - (HashMixer.mix(r.id().hashCode()) >>> 16) / 262_144.0;
        return (long) (spread
                * Math.min(Math.max(latencyBudgetUs, heldUs), settings.limits().maxRetryAfterUs()));
    }

    // Timers

    private void ask() {
        if (settings.limits().endpointsArePolled()) {
            out.accept(new WatchEndpoints(true));
            askIn(rules.pollIntervalUs());
        } else {
            askAt = Long.MAX_VALUE;
        }
    }

    private void askIn(long delayUs) {
        askAt = now + delayUs;
        out.accept(new SetTimer(askAt, "ask"));
    }
}
