package gaugegw.balancer;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the attempts that this proxy has in flight, so that requests queue at the proxy, which orders them by
 * priority, and not at the endpoints. The limit is the rate of successful responses times the latency budget, that is,
 * the number of attempts that the endpoints complete in a latency budget, with a minimum per endpoint.
 *
 * <p>The limit is fractional, because one of hundreds of proxies may be entitled to less than one attempt in flight on
 * average. Attempts within the limit may always start. One more may start, or as many as {@link
 * #MIN_ATTEMPTS_PER_ENDPOINT} in total, if the proxy has used less than its limit before. The unused limit is the
 * difference between the limit and the attempts in flight, summed over time; it is at most the limit times one refresh
 * period, and it falls while more attempts are in flight than the limit.
 */
final class ConcurrencyLimiter {
    /**
     * The limit is computed with a latency of at least this multiple of the unloaded latency. With less, endpoints with
     * slow responses would be idle while requests wait.
     */
    private static final double LATENCY_HEADROOM = 1.2;
    /**
     * The number of attempts in flight per endpoint that the limits of all proxies add up to at least. With fewer, an
     * endpoint would be idle between a response and the next attempt. If there are more proxies than endpoints, {@link
     * #extraAttemptsPerEndpoint} is added, which may be negative. One proxy's part may be less than one attempt; it
     * then applies to the average over time, and at any one time the proxy may have this number of attempts in flight.
     */
    private static final double MIN_ATTEMPTS_PER_ENDPOINT = 3;
    /**
     * An attempt in flight for this multiple of the mean latency does not count toward the limit. It has hung, or it is
     * one of the few expensive ones.
     */
    private static final double HUNG_LATENCY_MULTIPLE = 8;
    /** Above this timeout rate, long attempts are a sign of overload rather than hung, and count toward the limit. */
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
     * Computes the limit for the event that is about to be handled, and adds the limit left unused since the previous
     * event to the accumulated unused limit. Called before the event changes the attempts in flight.
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
     * Returns whether an attempt of a request may start now. Beyond the limit, it may start only while the accumulated
     * unused limit is at least -share * limit * refresh period, where share is the request's {@link
     * PendingRequest#lowerPriorityShare}. A request of high priority may therefore exceed the limit for longer.
     */
    boolean permits(PendingRequest request, long nowUs) {
        int counted = countedAttempts(nowUs);
        return counted < Math.max(limit, MIN_ATTEMPTS_PER_ENDPOINT)
                && (counted + 1 <= limit
                        || unusedLimitUs >= -request.lowerPriorityShare() * limit * parameters.refreshPeriodUs());
    }

    /**
     * Returns the response rate times the latency budget, or times {@link #LATENCY_HEADROOM} unloaded latencies if they
     * are longer. The result is at least this proxy's part of the minimum attempts per endpoint.
     */
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
     * rejected. It is negative if most requests are rejected. Used if there are more proxies than endpoints: each proxy
     * then has so few attempts that only its rejections distinguish overload from random variation.
     */
    private double extraAttemptsPerEndpoint() {
        double busyCores = load.endpointThroughputPerUs() * proxyCount * load.unloadedLatencyUs();
        double cores = Math.min(MIN_ATTEMPTS_PER_ENDPOINT, Math.max(1, busyCores));
        return cores * (1 - rates.rejectionRate()) - rates.rejectionRate();
    }

    /**
     * Returns the number of attempts in flight without the hung ones, which would otherwise use up the limit while
     * endpoints are idle. Hung ones count as well while the mean latency is not reliable or the timeout rate is high.
     */
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
