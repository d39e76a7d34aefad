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
import java.util.stream.Stream;

/**
 * Decides where one proxy sends its requests. Settings, events and actions are in Balancer.java.
 *
 * <p>A request goes to the eligible backend with the earliest deadline (currentTime + 1) / weight, with
 * weight = c / sum of c and c = 1 / response time of the backend's kind, as this proxy has seen it.
 */
public final class EarliestDeadlineLoadBalancer implements LoadBalancer {
    /** Answers that a kind's mean response time remembers: its weight drifts slowly. */
    private static final int KIND_MEMORY = 1024;
    /** A kind's mean counts as so many of a backend's own answers, of which a refresh keeps a part. */
    private static final double OWN_PRIOR = 4;

    private static final double OWN_KEPT = 0.8;
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
    /** Part of a window's cold budget that may be sent at once; the rest is granted in the course of the window. */
    private static final double COLD_BURST = 0.25;
    /** Fraction of the golden ratio: multiples of it, modulo 1, lie evenly for any run of successive ranks. */
    private static final double GOLDEN_FRACTION = (Math.sqrt(5) - 1) / 2;
    /** Attempts in flight may take this part of the shortest aim, by the rate of answers; queued ones that again. */
    private static final double LATENCY_BUDGET_SHARE = 1 / 5.0;
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
    /** The longest backoff of a flow that keeps failing at a backend, in refresh periods. */
    private static final int MAX_BACKOFF_PERIODS = 8;

    /** Errors are common when they are more than this part of the attempts, in the mean of so many; time-outs alike. */
    private static final double COMMON = 0.015;

    private static final double ERROR_MEMORY = 256;

    private final BalancerSettings settings;
    private final SafetyLimits rules;
    private final Random random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Quota> quotas = new HashMap<>();
    private final Map<String, Long> leastLeft = new HashMap<>();
    private final Map<String, Kind> kinds = new HashMap<>();
    private final Kind all = new Kind();
    private final Map<String, Server> byId = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, Request> requests = new HashMap<>();
    private final long refreshUs;
    private final int flowsOfClass;
    private long refreshAt = Long.MIN_VALUE;
    private double retryTokens = RETRY_BURST;
    private long askAt = Long.MIN_VALUE;
    private final DiscoveryBackoff askBackoff;
    private int outstanding;
    private final Set<Attempt> inOrder = new LinkedHashSet<>();
    /** How long an answer may take at the limit, in microseconds. */
    private final long latencyBudgetUs;

    private final List<Request> held = new ArrayList<>();
    /** Attempts that may be in flight, as of the event in hand. */
    private double attemptLimit;
    /** The limit that was left unused, as attempts times microseconds; below 0 where it was overdrawn. */
    private double unusedLimitUs;

    private double refused;
    private double errorShare;
    private double timeoutShare;
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
        settings.requestClasses().forEach(c -> classes.put(c.name(), c));
        settings.tenants().forEach(t -> quotas.put(t.name(), new Quota(t, settings, quotas.size())));
        this.flowsOfClass = 1 + quotas.size();
        var aims = settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveUs)
                .summaryStatistics();
        this.latencyBudgetUs = (long) (LATENCY_BUDGET_SHARE * aims.getMin());
        this.refreshUs = 2 * aims.getMax();
    }

    /** The answers of one kind of machine. */
    private static final class Kind {
        private double meanUs;
        private int samples;

        void learn(double latencyUs) {
            samples = Math.min(samples + 1, KIND_MEMORY);
            meanUs += (latencyUs - meanUs) / samples;
        }
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

    /** The health of a backend as a whole, or of one flow there: the requests of a class and tenant. */
    private static final class HealthRecord {
        private int out;
        private long lastHeardAt;
        private long backoffUs;
        private long backoffUntil = Long.MIN_VALUE;
        private boolean lastWasError;

        /** Where errors are common at all backends, one is bad luck: only the next in a row tells of the backend. */
        boolean isIsolatedError(boolean error) {
            boolean first = error && !lastWasError && backoffUs == 0;
            lastWasError = error;
            return first;
        }

        boolean inBackoff(long now) {
            return now < backoffUntil;
        }

        /** Not in backoff, nor silent for too long; after a backoff one attempt at a time until one succeeds. */
        boolean mayReceive(long now, long silenceUs) {
            return !inBackoff(now) && (out == 0 || (backoffUs == 0 && now - lastHeardAt < silenceUs));
        }

        void sent(long now) {
            lastHeardAt = out++ == 0 ? now : lastHeardAt;
        }

        void ended(long now, boolean heard) {
            out--;
            lastHeardAt = heard ? now : lastHeardAt;
        }

        /** A failure starts a backoff of one period; each that follows doubles it, each answer halves it. */
        void record(boolean good, long now, long periodUs) {
            if (now >= backoffUntil) {
                backoffUs = good
                        ? (backoffUs > periodUs ? backoffUs / 2 : 0)
                        : Math.min(Math.max(2 * backoffUs, periodUs), MAX_BACKOFF_PERIODS * periodUs);
                backoffUntil = good ? backoffUntil : now + backoffUs;
            }
        }
    }

    /**
     * The requests that this proxy may send to one cold backend. They are granted in the course of time, and what is
     * not used soon expires: if it were saved, each of many proxies with a small part of the budget could hold one
     * request, and all could send theirs in the same burst.
     */
    private static final class ColdAllowance {
        private double granted;
        private double usedOrExpired;
        private long grantedAt;

        /**
         * Starts with nothing granted.
         *
         * @param phase the part of the first request, from 0 to 1, that counts as granted; spread evenly over the
         *     proxies, their sum is near its mean at any time, however small the part of each
         */
        ColdAllowance(double phase, long nowUs) {
            granted = phase;
            grantedAt = nowUs;
        }

        /**
         * Grants what is due since the last call and returns how many whole requests may be sent now. What was granted
         * and not used expires: a large part of the budget after a third of the window, so that no window holds more
         * than the whole; a small part after a window, or proxies with little traffic would seldom use any. Then a
         * window holds up to one and a half times the budget, of which the rule's {@link #COLD_MARGIN} leaves room.
         *
         * @param budgetPerUs this proxy's part of the budget, in requests per microsecond
         * @param windowUs the window over which the rule counts, in microseconds
         */
        double available(double budgetPerUs, long windowUs, long nowUs) {
            granted += (1 - COLD_BURST) * budgetPerUs * (nowUs - grantedAt);
            grantedAt = nowUs;
            double budget = budgetPerUs * windowUs;
            double unexpired = Math.max(COLD_BURST * budget, Math.min(COLD_BURST, (1 - COLD_BURST) * budget));
            usedOrExpired = Math.max(usedOrExpired, Math.floor(granted - unexpired));
            return Math.floor(granted) - usedOrExpired;
        }

        void use() {
            usedOrExpired += 1;
        }
    }

    /** A backend that this proxy may send to. */
    private static final class Server {
        private final String id;
        private Endpoint listed;
        private Kind kind;
        private double weight;
        private double zonePreference;
        private double currentTime;
        private double ownUs;
        private double ownSamples;
        private final HealthRecord health = new HealthRecord();
        private final HealthRecord[] flowHealth;
        private final ColdAllowance coldAllowance;
        private boolean ready;

        Server(String id, int flows, ColdAllowance coldAllowance) {
            this.id = id;
            this.coldAllowance = coldAllowance;
            this.flowHealth = Stream.generate(HealthRecord::new).limit(flows).toArray(HealthRecord[]::new);
        }
    }

    /** A request that has no final answer yet, or has attempts still out, and the ledger of its attempts. */
    private static final class Request {
        private final String id;
        private final RequestClass type;
        private final int flow;
        private final String key;
        private final double worth;
        private final long aimAt;
        private final long deadline;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private int out;
        private boolean over;
        private long giveUpAt;
        private double cheaperShare;
        private Server warmServer;

        Request(String id, RequestClass type, int flow, String key, double worth, long began, long deadline) {
            this.id = id;
            this.type = type;
            this.flow = flow;
            this.key = key;
            this.worth = worth;
            this.deadline = deadline;
            this.aimAt =
                    type.lateWeightFraction() > 0 ? deadline : Math.min(deadline, began + type.latencyObjectiveUs());
        }

        boolean outranks(Request other) {
            return worth > other.worth || (worth == other.worth && aimAt < other.aimAt);
        }
    }

    /** One attempt: {@code outcome} is null while it is out. */
    private static final class Attempt {
        private final Server server;
        private final Endpoint sentTo;
        private final long sentAt;
        private final long timeoutUs;
        private AttemptOutcome outcome;

        Attempt(Server server, long sentAt, long timeoutUs) {
            this.server = server;
            this.sentTo = server.listed;
            this.sentAt = sentAt;
            this.timeoutUs = timeoutUs;
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
    int remembered() {
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
        List<Server> before = List.copyOf(servers);
        if (news.kind() != UpdateKind.DELTA) {
            servers.forEach(s -> s.ready = false);
            servers.clear();
        }
        for (Endpoint b : news.endpoints()) {
            Server s = byId.get(b.id());
            if (s == null || b.startedAtUs() != s.listed.startedAtUs()) {
                // What was seen of the process that ran under this id before tells nothing of the new one.
                if (s != null) {
                    s.ready = false;
                    servers.remove(s);
                }
                s = new Server(b.id(), classes.size() * flowsOfClass, new ColdAllowance(coldPhase(b), now));
                byId.put(s.id, s);
            }
            s.listed = b;
            s.zonePreference = settings.zone().equals(b.zone()) ? OWN_ZONE_PREFERENCE : 1;
            s.kind = kinds.computeIfAbsent(String.valueOf(b.kind()), name -> new Kind());
            s.ready = b.state() == EndpointState.READY;
            servers.remove(s);
            if (s.ready) {
                servers.add(s);
            }
            if (b.state() == EndpointState.GONE) {
                byId.remove(s.id);
            }
        }
        before.forEach(this::releaseUnlessReady);
        if (news.kind() != UpdateKind.DELTA) {
            byId.values().retainAll(servers);
        }
        refresh();
    }

    /** Returns where in its first request to a cold backend this proxy starts: evenly over the ranks, from 0 to 1. */
    private double coldPhase(Endpoint b) {
        double start = mix(b.id().hashCode() ^ Long.hashCode(b.startedAtUs())) / (double) (1L << Integer.SIZE);
        double phase = start + settings.proxyIndex() * GOLDEN_FRACTION;
        return phase - Math.floor(phase);
    }

    /** Rule 6: no idle connection is kept to a backend that drains or is gone: nobody has a use for it. */
    private void releaseUnlessReady(Server s) {
        if (!s.ready) {
            out.accept(new CloseIdleConnections(s.id));
        }
    }

    /**
     * Puts the list in this proxy's order. Where proxies outnumber backends, as many as there are backends
     * stand evenly along the list, by weight, as many in another order: no two stand and fall back alike.
     */
    private void order() {
        int rounds = Math.max(1, settings.proxyCount() / Math.max(1, servers.size()));
        int shuffle = mix(settings.proxyIndex() % rounds);
        servers.sort(Comparator.comparing((Server s) -> mix(s.id.hashCode() ^ shuffle)));
        int place = settings.proxyIndex() / rounds;
        double at = place * (double) rounds / settings.proxyCount();
        int first = 0;
        while (first < servers.size() - 1 && at > servers.get(first).weight - 1e-9) {
            at -= servers.get(first++).weight;
        }
        Collections.rotate(servers, -first);
    }

    /** Guards against backends hung, dead, slow or ill for some requests only, whatever the cause. */
    private boolean isHealthy(Server s, Request r) {
        long silenceUs = (long) Math.max(2 * latencyBudgetUs, s.kind.meanUs);
        return s.health.mayReceive(now, silenceUs) && s.flowHealth[r.flow].mayReceive(now, silenceUs);
    }

    /** Returns whether a failure has shown that a backend is ill, for all requests or for those of this flow. */
    private boolean inBackoff(Server s, Request r) {
        return s.health.inBackoff(now) || s.flowHealth[r.flow].inBackoff(now);
    }

    /** Returns the part of its capacity that a backend is sure to have: 1 once it is warm. */
    private double warmUpFraction(Server s) {
        long started = s.listed.startedAtUs();
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
                .filter(s -> s.kind.samples > 0)
                .mapToDouble(s -> 1 / (s.kind.meanUs * s.listed.weight()))
                .average()
                .orElse(1);
        servers.forEach(s -> s.weight = s.kind.samples > 0 ? 1 / responseUs(s) : s.listed.weight() * scale);
        double floor = FLOOR * servers.stream().mapToDouble(s -> s.weight).max().orElse(1);
        double sum =
                servers.stream().mapToDouble(s -> Math.max(s.weight, floor)).sum();
        for (Server s : servers) {
            s.weight = Math.max(s.weight, floor) / sum;
            s.currentTime = 0;
            s.ownUs *= OWN_KEPT;
            s.ownSamples *= OWN_KEPT;
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
        double mean = all.samples < KIND_MEMORY / 32 ? 0 : all.meanUs;
        unloadedLatencyUs = unloadedLatencyUs == 0 ? mean : Math.min(unloadedLatencyUs, mean);
        // Slowly: the answers of backends that have just left the list tell nothing of those that stay.
        double throughputPerUs = answerRate() / Math.max(1, servers.size());
        backendThroughputPerUs +=
                (throughputPerUs - backendThroughputPerUs) * Math.max(1.0 / measurements, 1 - OWN_KEPT);
    }

    private void learn(Server s, double latencyUs) {
        s.kind.learn(latencyUs);
        s.ownUs += latencyUs;
        s.ownSamples++;
    }

    /** The response time of a backend: its kind's mean, drawn to its own by the number of its own answers. */
    private double responseUs(Server s) {
        return (OWN_PRIOR * s.kind.meanUs + s.ownUs) / (OWN_PRIOR + s.ownSamples);
    }

    // Pick

    private void arrival(RequestArrived a) {
        RequestClass type = classes.get(a.requestClass());
        if (type == null) {
            throw new IllegalArgumentException("request of a class not in the settings: " + a.requestClass());
        }
        measureLoad();
        if (now >= refreshAt) {
            refresh();
        }
        retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_RATE);
        Quota quota = quotas.get(a.tenant());
        int tenant = quota == null ? quotas.size() : quota.number;
        int flow = settings.requestClasses().indexOf(type) * flowsOfClass + tenant;
        double worth = overShare(quota, a.retry()) ? settings.overQuotaWeightFraction() : 1;
        // A repeat that is left less than first tries get began so long ago: past its aim, it ranks as late.
        long least = leastLeft.merge(type.name(), a.retry() ? Long.MAX_VALUE : a.timeoutUs(), Math::min);
        long began = a.timeoutUs() < least ? now + a.timeoutUs() - type.deadlineUs() : now;
        worth *= type.priorityWeight() * (now < began + type.latencyObjectiveUs() ? 1 : type.lateWeightFraction());
        String key = settings.cacheAffinity() ? a.key() : null;
        var r = new Request(a.requestId(), type, flow, key, worth, began, now + a.timeoutUs());
        requests.put(r.id, r);
        hold(r);
    }

    private Server pick(Request r) {
        Server best = null;
        double earliest = Double.POSITIVE_INFINITY;
        int balance = 0;
        int standing = 0;
        // Far busier than others, a proxy takes a larger part: a backend for each attempt out in the mean.
        double left = Math.max(
                PROXIES_PER_BACKEND * servers.size() / settings.proxyCount(), answerRate() * unloadedLatencyUs);
        for (Server s : servers) {
            if (!effectAllows(s, r)) {
                continue;
            }
            boolean trust = isHealthy(s, r);
            boolean failing = inBackoff(s, r);
            balance += trust ? 3 : -1;
            standing += failing ? -1 : 3;
            double deadline =
                    (s.currentTime + 1) / (s.weight * s.zonePreference * (s == r.warmServer ? WARM_KEY_PREFERENCE : 1));
            deadline *= r.attempts.isEmpty() || r.attempts.stream().noneMatch(a -> a.server == s) ? 1 : 1e6;
            // Where nearly all look ill, those that are merely slow come before those that fail.
            deadline *= trust ? 1 : failing ? 1e24 : 1e18;
            // Few have a cold backend in their part: it would get nothing of what the rest may send it.
            boolean open = !trust || left > 0 || warmUpFraction(s) < 1;
            if (open && deadline < earliest && isBelowItsShare(s) && coldBudget(s) >= 1) {
                best = s;
                earliest = deadline;
            }
            boolean sound = s.kind.samples == 0 || responseUs(s) < 4 * s.kind.meanUs;
            left -= settings.proxyCount() > PROXIES_PER_BACKEND && trust && sound && warmUpFraction(s) >= 1 ? 1 : 0;
        }
        // If nearly all look ill, it is this proxy that is cut off, or the load: then all are tried on. But where some
        // answer late and the others fail, those that fail are left alone.
        return best == null || (inBackoff(best, r) ? standing : balance) < 0 || isHealthy(best, r) ? best : null;
    }

    /** Returns the backend that is likely warm for a key: all proxies find the same one, by rendezvous hashing. */
    private Server warmServer(String key) {
        return servers.stream()
                .max(Comparator.comparingInt(s -> mix(key.hashCode() ^ s.id.hashCode())))
                .orElse(null);
    }

    private static int mix(int hash) {
        int mixed = hash * 0x9E3779B1;
        mixed = (mixed ^ mixed >>> 15) * 0x85EBCA6B;
        return mixed ^ mixed >>> 13;
    }

    /**
     * A backend may have its weight's share of all attempts out, at least 1. Counters see sends alone; this
     * sees a backend that answers late or not at all, whatever the cause.
     */
    private boolean isBelowItsShare(Server s) {
        return s.health.out < Math.max(1, Math.ceil(s.weight * (outstanding + 1)));
    }

    /** Rule 2: a request that may have run goes only where its class lets it run again, and in time to begin there. */
    private boolean effectAllows(Server s, Request r) {
        return r.attempts.isEmpty()
                || r.type.idempotency() == Idempotency.IDEMPOTENT
                || r.attempts.stream()
                        .allMatch(a -> !mayHaveRun(a)
                                || (r.type.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                        && now + settings.limits().connectTimeoutUs()
                                                < a.sentAt + r.type.deduplicationWindowUs()
                                        && sameGroup(r.type.deduplicationScope(), a.sentTo, s.listed)));
    }

    /** Rule 5: where 'full' is no proof, it counts as any other failure, for sends and refusals alike. */
    private boolean mayHaveRun(Attempt a) {
        return a.outcome == null
                || !a.outcome.provesNotExecuted()
                || (a.outcome == AttemptOutcome.REJECTED && rules.rejectedMayHaveExecuted());
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
    private double coldBudget(Server s) {
        double warmUpFraction = warmUpFraction(s);
        if (warmUpFraction >= 1) {
            return Double.POSITIVE_INFINITY;
        }
        double requestUs = s.kind.samples > 0
                ? s.kind.meanUs
                : settings.requestClasses().get(0).latencyObjectiveUs();
        double capacityPerUs =
                Math.max(1 / (requestUs * settings.proxyCount()), backendThroughputPerUs * s.weight * servers.size());
        double budgetPerUs = COLD_MARGIN * rules.overloadMultiple() * warmUpFraction * capacityPerUs;
        return s.coldAllowance.available(budgetPerUs, rules.overloadWindowUs(), now);
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
        if (all.samples < KIND_MEMORY / 32 || timeoutShare > HUNG_MAX_TIMEOUT_SHARE) {
            return outstanding;
        }
        double hungUs = Math.max(latencyBudgetUs, HUNG_LATENCY_MULTIPLE * all.meanUs);
        int hung = 0;
        for (Attempt a : inOrder) {
            if (now - a.sentAt < hungUs) {
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
    private boolean mayAdmit(Request r) {
        // Dearer ones may overdraw: a proxy of hundreds never holds enough requests to order them by worth.
        int countedAttempts = countedAttempts();
        return countedAttempts < Math.max(attemptLimit, MIN_ATTEMPTS_PER_BACKEND)
                && (countedAttempts + 1 <= attemptLimit || unusedLimitUs >= -r.cheaperShare * attemptLimit * refreshUs);
    }

    private void send(Request r, Server s) {
        s.currentTime += 1;
        s.health.sent(now);
        s.flowHealth[r.flow].sent(now);
        outstanding++;
        s.coldAllowance.use();
        r.out++;
        // A slow answer is worth waiting for, but not long past its aim: silence takes up the room of others.
        long cutUs = now < r.aimAt ? (long) (LATE * (r.aimAt - now)) : Long.MAX_VALUE;
        var a = new Attempt(s, now, Math.min(r.deadline - now, cutUs));
        r.attempts.add(a);
        inOrder.add(a);
        out.accept(new StartAttempt(r.id, s.id, a.timeoutUs));
    }

    // Attempt outcome

    private void attemptEnded(AttemptEnded e) {
        Request r = requests.get(e.requestId());
        if (r == null || e.attempt() >= r.attempts.size() || r.attempts.get(e.attempt()).outcome != null) {
            return;
        }
        Attempt a = r.attempts.get(e.attempt());
        a.outcome = e.outcome();
        boolean heard = e.outcome() != AttemptOutcome.TIMEOUT && e.outcome() != AttemptOutcome.CANCELLED;
        a.server.health.ended(now, heard);
        a.server.flowHealth[r.flow].ended(now, heard);
        outstanding--;
        inOrder.remove(a);
        r.out--;
        releaseUnlessReady(a.server);
        boolean ok = e.outcome() == AttemptOutcome.SUCCESS;
        // What cannot be reached fails for all; any other failure tells of the flow alone.
        if (e.outcome() != AttemptOutcome.CANCELLED && e.outcome() != AttemptOutcome.NOT_SENT) {
            boolean lost = e.outcome() == AttemptOutcome.CONNECT_FAILED;
            boolean error = lost || e.outcome() == AttemptOutcome.ERROR || e.outcome() == AttemptOutcome.RESET;
            errorShare += ((error ? 1 : 0) - errorShare) / ERROR_MEMORY;
            boolean common = errorShare > COMMON;
            timeoutShare += ((e.outcome() == AttemptOutcome.TIMEOUT ? 1 : 0) - timeoutShare) / ERROR_MEMORY;
            boolean lostByLuck = a.server.health.isIsolatedError(lost) && common;
            boolean luck = a.server.flowHealth[r.flow].isIsolatedError(error) && common;
            a.server.health.record(!lost || lostByLuck, now, refreshUs);
            a.server.flowHealth[r.flow].record(ok || luck, now, refreshUs);
            learn(
                    a.server,
                    ok
                            ? e.latencyUs()
                            : e.outcome() == AttemptOutcome.ERROR ? r.type.latencyObjectiveUs() : a.timeoutUs);
        }
        if (ok) {
            all.learn(e.latencyUs());
            answersPerUs = answerRate() + 1.0 / refreshUs;
            answersAt = now;
            refused -= refused / 16;
        }
        if (r.over || e.requestEnded()) {
            close(r);
        } else if (r.out == 0) {
            retry(r);
        }
    }

    /** Forgets a request that is over once none of its attempts is out, and calls off those that are. */
    private void close(Request r) {
        if (!r.over && settings.limits().cancellation()) {
            for (int i = 0; i < r.attempts.size(); i++) {
                if (r.attempts.get(i).outcome == null) {
                    out.accept(new CancelAttempt(r.id, i));
                }
            }
        }
        r.over = true;
        held.remove(r);
        if (r.out == 0) {
            requests.remove(r.id);
        }
    }

    // Retry

    private void retry(Request r) {
        // A request that no backend may be sent is over: held, it would only take up room.
        if (now < r.aimAt
                && retryTokens >= 1
                && r.attempts.size() < settings.limits().maxAttempts()
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
    private void hold(Request r) {
        // Sent at the last moment, it is to be answered in time: twice the latency budget ahead.
        r.giveUpAt = Math.min(r.aimAt - 2 * latencyBudgetUs, r.deadline - 2 * settings.minEventIntervalUs());
        r.cheaperShare = 1.0
                * classes.values().stream()
                        .filter(c -> c.priorityWeight() < r.worth)
                        .count()
                / classes.size();
        r.warmServer = r.key == null ? null : warmServer(r.key);
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
        for (int i = 0; i < held.size() && held.get(i).worth == held.get(0).worth && mayAdmit(held.get(i)); ) {
            Request r = held.get(i);
            if (r.warmServer != null && pick(r) == r.warmServer) {
                held.remove(i);
                send(r, r.warmServer);
            } else {
                i++;
            }
        }
        // A flow that must wait for the backends that still answer it keeps no other from the rest.
        var waiting = new boolean[classes.size() * flowsOfClass];
        for (int i = 0; i < held.size() && mayAdmit(held.get(i)); ) {
            Request r = held.get(i);
            Server s = waiting[r.flow] && r.attempts.isEmpty() ? null : pick(r);
            if (s != null) {
                held.remove(i);
                send(r, s);
            } else {
                waiting[r.flow] |= r.attempts.isEmpty();
                i++;
            }
        }
        for (int i = held.size() - 1; i >= 0; i--) {
            Request r = held.get(i);
            if (r.giveUpAt <= now || servers.isEmpty() || i >= Math.max(attemptLimit, 1)) {
                held.remove(i);
                finish(r);
            }
        }
        // Rule 1: whatever is held has a timer ahead of its deadline; sooner, as time brings room too.
        long next = held.stream().mapToLong(r -> r.giveUpAt).min().orElse(Long.MAX_VALUE);
        if (!held.isEmpty() && (now >= wakeAt || next < wakeAt)) {
            wakeAt = Math.min(now + latencyBudgetUs / 4, next);
            out.accept(new SetTimer(wakeAt, "held"));
        }
    }

    /** Gives the final answer: a refusal where a repeat is harmless, else a failure. */
    private void finish(Request r) {
        refused += (1 - refused) / 16;
        boolean harmless = r.type.idempotency() == Idempotency.IDEMPOTENT
                || (r.type.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && r.type.deduplicationScope() == DeduplicationScope.ALL)
                || r.attempts.stream().noneMatch(this::mayHaveRun);
        out.accept(harmless ? new Reject(r.id, comeBackUs(r)) : new Fail(r.id));
        close(r);
    }

    /** When there may be room: what is held now has been answered by then. Not in step with the others refused. */
    private long comeBackUs(Request r) {
        double heldUs = servers.isEmpty() ? refreshUs : held.size() / Math.max(answerRate(), 1.0 / refreshUs);
        double spread = 1 - (mix(r.id.hashCode()) >>> 16) / 262_144.0;
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
