package gaugegw.balancer;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the attempts that this proxy has in flight, so that requests queue at the proxy, which orders them by
 * priority, and not at the endpoints. The limit is the rate of responses times the latency budget.
 *
 * <p>The limit is fractional, because one of hundreds of proxies may be entitled to less than one attempt in flight on
 * average. Its integer part may always be used. Further attempts, up to the next integer or to {@link
 * #MIN_ATTEMPTS_PER_ENDPOINT}, may start if the limit was not fully used before: what is unused accumulates over time,
 * up to the limit times one refresh period, and attempts beyond the limit reduce it.
 */
final class ConcurrencyLimiter {
    /** The limit allows for at least this multiple of the unloaded latency; with less, endpoints would be idle. */
    private static final double LATENCY_HEADROOM = 1.2;
    /**
     * The number of attempts in flight per endpoint that the limits of all proxies together always allow. With fewer,
     * an endpoint would be idle between a response and the next attempt. Where one proxy's share of it is less than one
     * attempt, the share applies to the average over time.
     */
    private static final double MIN_ATTEMPTS_PER_ENDPOINT = 3;
    /** An attempt in flight for this multiple of the mean latency hangs, or is one of the few that are expensive. */
    private static final double HUNG_LATENCY_MULTIPLE = 8;
    /** Above this share of timeouts, long attempts are a sign of overload and are not treated as hung. */
    private static final double OVERLOAD_TIMEOUT_SHARE = 0.08;

    private final int proxyCount;
    private final ControlParameters parameters;
    private final EndpointMembership membership;
    private final LoadStatistics load;
    private final OutcomeRates rates;
    /** Oldest first. */
    private final Set<AttemptRecord> inFlight = new LinkedHashSet<>();

    private double limit;
    /** The accumulated unused limit, in attempts times microseconds; negative after the limit was exceeded. */
    private double unusedLimitUs;

    private long updatedAtUs;

    ConcurrencyLimiter(
            int proxyCount,
            ControlParameters parameters,
            EndpointMembership membership,
            LoadStatistics load,
            OutcomeRates rates) {
        this.proxyCount = proxyCount;
        this.parameters = parameters;
        this.membership = membership;
        this.load = load;
        this.rates = rates;
    }

    /**
     * Computes the limit for the event that is about to be handled, and accounts for the time since the previous one.
     */
    void update(long nowUs) {
        limit = computeLimit(nowUs);
        double unusedSinceUs = (limit - countedAttempts(nowUs)) * (nowUs - updatedAtUs);
        unusedLimitUs = Math.min(limit * parameters.refreshPeriodUs(), unusedLimitUs + unusedSinceUs);
        updatedAtUs = nowUs;
    }

    double limit() {
        return limit;
    }

    int attemptsInFlight() {
        return inFlight.size();
    }

    void recordAttemptStarted(AttemptRecord attempt) {
        inFlight.add(attempt);
    }

    void recordAttemptEnded(AttemptRecord attempt) {
        inFlight.remove(attempt);
    }

    /**
     * Returns whether an attempt of a request may start now. The more classes have a lower priority weight than the
     * request, the further the accumulated unused limit may fall below zero.
     */
    boolean permits(PendingRequest request, long nowUs) {
        int counted = countedAttempts(nowUs);
        return counted < Math.max(limit, MIN_ATTEMPTS_PER_ENDPOINT)
                && (counted + 1 <= limit
                        || unusedLimitUs >= -request.lowerPriorityShare() * limit * parameters.refreshPeriodUs());
    }

    /** Returns the number of responses expected in a latency budget, but at least what keeps the endpoints busy. */
    private double computeLimit(long nowUs) {
        double latencyUs = Math.max(parameters.latencyBudgetUs(), LATENCY_HEADROOM * load.unloadedLatencyUs());
        double byResponseRate = load.responsesPerUs(nowUs) * latencyUs;
        double endpointsPerProxy = membership.readyEndpoints().size() / (double) proxyCount;
        double extraPerEndpoint = endpointsPerProxy < 1 ? extraAttemptsPerEndpoint() : 0;
        return Math.max(byResponseRate, endpointsPerProxy * (MIN_ATTEMPTS_PER_ENDPOINT + extraPerEndpoint));
    }

    /**
     * Returns how many attempts per endpoint are added to the minimum: c (1 - r) - r, with c the estimated number of
     * busy cores of an endpoint, from 1 to {@link #MIN_ATTEMPTS_PER_ENDPOINT}, and r the share of requests that are
     * rejected. It is negative where most requests are rejected. A proxy with less than one endpoint to itself has so
     * few attempts that only its own rejections let it tell overload from random variation.
     */
    private double extraAttemptsPerEndpoint() {
        double busyCores = load.endpointThroughputPerUs() * proxyCount * load.unloadedLatencyUs();
        double cores = Math.min(MIN_ATTEMPTS_PER_ENDPOINT, Math.max(1, busyCores));
        return cores * (1 - rates.rejectionRate()) - rates.rejectionRate();
    }

    /** Returns the attempts in flight except for hung ones, which would keep requests from endpoints that are idle. */
    private int countedAttempts(long nowUs) {
        if (!load.hasReliableLatency() || rates.timeoutRate() > OVERLOAD_TIMEOUT_SHARE) {
            return inFlight.size();
        }
        double hungUs = Math.max(parameters.latencyBudgetUs(), HUNG_LATENCY_MULTIPLE * load.meanLatencyUs());
        int hung = 0;
        for (AttemptRecord attempt : inFlight) {
            if (nowUs - attempt.startedAtUs() < hungUs) {
                break;
            }
            hung++;
        }
        return inFlight.size() - hung;
    }
}
