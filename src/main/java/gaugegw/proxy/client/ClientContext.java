package gaugegw.proxy.client;

import gaugegw.proxy.dispatch.RequestDispatcher;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;

/**
 * What all connections and exchanges of a {@link Frontend} share. Used on the event loop only.
 *
 * @param clock the proxy's clock, in microseconds
 * @param log lines for the operators
 * @param dispatcher takes the parsed requests
 * @param limiter counts the connections and evicts idle ones
 * @param requestParser checks and parses requests
 * @param delayEstimator says since when a byte may have waited to be read
 * @param connections all connections that are not closed yet
 * @param drainState how far a graceful shutdown has come
 */
record ClientContext(
        Clock clock,
        RateLimitedLog log,
        RequestDispatcher dispatcher,
        ConnectionLimiter limiter,
        ClientRequestParser requestParser,
        EventLoopDelayEstimator delayEstimator,
        ClientConnectionRegistry connections,
        DrainState drainState) {}
