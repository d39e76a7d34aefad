package gaugegw.proxy.client;

import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.logging.SampledLog;
import gaugegw.proxy.logging.TrafficCounters;
import gaugegw.proxy.memory.MemoryLimiter;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;

/**
 * The objects that all connections and exchanges of a {@link Frontend} share. Used on the event loop only.
 *
 * @param clock the proxy's clock, in microseconds
 * @param log the log for operators
 * @param counters counts how requests end
 * @param unanswered records the requests whose connection ends before they are answered
 * @param dispatcher receives the parsed requests
 * @param limiter counts the connections and evicts idle ones
 * @param memory limits the memory that unfinished messages hold
 * @param overloadRetryAfterUs the Retry-After of a request that is rejected for lack of memory, in microseconds; 0 if
 *     the settings permit none
 * @param requestParser checks and parses requests
 * @param delayEstimator estimates when a byte that is read now was received
 * @param decodeScheduler runs the reads of expensive requests when their turn has come
 * @param decodeWorkLog the log of expensive requests that are not complete in time
 * @param connections all open connections
 * @param drainState the steps that a graceful shutdown has reached
 */
record ClientContext(
        Clock clock,
        RateLimitedLog log,
        TrafficCounters counters,
        UnansweredRequests unanswered,
        RequestDispatcher dispatcher,
        ConnectionLimiter limiter,
        MemoryLimiter memory,
        long overloadRetryAfterUs,
        ClientRequestParser requestParser,
        EventLoopDelayEstimator delayEstimator,
        DecodeScheduler decodeScheduler,
        SampledLog decodeWorkLog,
        ClientConnectionRegistry connections,
        DrainState drainState) {}
