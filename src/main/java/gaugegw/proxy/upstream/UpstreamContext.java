package gaugegw.proxy.upstream;

import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import gaugegw.proxy.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;

/**
 * What all endpoints, connections and attempts of an {@link UpstreamClient} share. Used on the event loop only.
 *
 * @param clock the proxy's clock, in microseconds
 * @param transport makes and inspects the connections
 * @param limiter counts the connections and evicts idle ones
 * @param bootstrap a template with the connect timeout set, to be cloned for each endpoint
 * @param idleTimeoutUs how long a connection may be idle before this side closes it, in microseconds
 * @param idleLimit the idle time, learned from resets, after which a connection is no longer used
 */
record UpstreamContext(
        Clock clock,
        Transport transport,
        ConnectionLimiter limiter,
        Bootstrap bootstrap,
        long idleTimeoutUs,
        LearnedIdleLimit idleLimit) {
    EventLoop loop() {
        return transport.loop();
    }
}
