package gaugegw.balancer;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the attempts in flight, by the rate of answers and the latency budget, so that requests queue at the proxy,
 * which orders them by priority. The limit is fractional, as one of hundreds of proxies may have less than one attempt
 * in flight in the mean of time: its whole part may always be used, the rest as the limit was left unused before.
 */
final class ConcurrencyLimiter {
    /** Attempts in flight may take this multiple of the unloaded latency at least, or endpoints would go idle. */
    private static final double LATENCY_HEADROOM = 1.2;
    /**
     * Attempts in flight at each endpoint, from all proxies together, that the limit always allows, or the endpoint
     * would be idle between an answer and the next attempt. Where a proxy's part is less than one, it holds in the
     * mean.
     */
    private static final double MIN_ATTEMPTS_PER_ENDPOINT = 3;
    /** An attempt in flight for this many times the mean latency hangs, or is one of a few of large cost. */
    private static final double HUNG_LATENCY_MULTIPLE = 8;
    /** Above this share of time-outs, it is overload that makes attempts long. */
    private static final double MAX_HUNG_TIMEOUT_SHARE = 0.08;

    private final int proxyCount;
    private final ControlParameters parameters;
    private final EndpointMembership membership;
    private final LoadStatistics load;
    private final OutcomeRates rates;
    /** In the order started. */
    private final Set<AttemptRecord> inFlight = new LinkedHashSet<>();

    private double limit;
    /** In attempts times microseconds; below 0 where the limit was exceeded. */
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

    /** Sets the limit for the event in hand and accounts for the time since the event before. */
    void update(long nowUs) {
        limit = limit(nowUs);
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

    /** Returns whether a request's attempt may start. The limit may be exceeded for a time by a higher priority. */
    boolean permits(PendingRequest request, long nowUs) {
        int counted = countedAttempts(nowUs);
        return counted < Math.max(limit, MIN_ATTEMPTS_PER_ENDPOINT)
                && (counted + 1 <= limit
                        || unusedLimitUs >= -request.lowerPriorityShare() * limit * parameters.refreshPeriodUs());
    }

    /** Returns what is answered within the latency budget, but not less than keeps the endpoints busy. */
    private double limit(long nowUs) {
        double latencyUs = Math.max(parameters.latencyBudgetUs(), LATENCY_HEADROOM * load.unloadedLatencyUs());
        double byAnswerRate = load.responsesPerUs(nowUs) * latencyUs;
        double endpointsPerProxy = membership.readyEndpoints().size() / (double) proxyCount;
        double extra = endpointsPerProxy < 1 ? extraAttemptsPerEndpoint() : 0;
        return Math.max(byAnswerRate, endpointsPerProxy * (MIN_ATTEMPTS_PER_ENDPOINT + extra));
    }

    /**
     * Returns one attempt a busy core, falling with the rejections and below 0 where nearly all is rejected: with less
     * than an endpoint to itself, a proxy can tell overload from chance only by how much it rejects.
     */
    private double extraAttemptsPerEndpoint() {
        double busyCores = load.endpointThroughputPerUs() * proxyCount * load.unloadedLatencyUs();
        double cores = Math.min(MIN_ATTEMPTS_PER_ENDPOINT, Math.max(1, busyCores));
        return cores * (1 - rates.rejectionRate()) - rates.rejectionRate();
    }

    /** Returns the attempts in flight without the hung ones, which would keep others from endpoints that are free. */
    private int countedAttempts(long nowUs) {
        if (!load.hasReliableLatency() || rates.timeoutRate() > MAX_HUNG_TIMEOUT_SHARE) {
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
