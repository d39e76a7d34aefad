package gaugegw.proxy.upstream;

import gaugegw.proxy.memory.MemoryLimiter;
import gaugegw.proxy.transport.Clock;
import gaugegw.proxy.transport.ConnectionLimiter;
import gaugegw.proxy.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;

/**
 * The dependencies and settings that all endpoints, connections and attempts of an {@link UpstreamClient} share. Used
 * on the event loop only.
 *
 * @param clock the proxy's clock, in microseconds
 * @param transport provides the event loop and shows whether an idle connection has received anything
 * @param limiter limits the number of open connections and closes idle ones
 * @param memory limits the memory that unfinished messages hold
 * @param bootstrap template for connections, with the connect timeout set; cloned for each endpoint
 * @param idleTimeoutUs how long a connection may be idle before the proxy closes it, in microseconds
 * @param idleLimit the idle time, learned from resets, above which a connection is not reused
 */
record UpstreamContext(
        Clock clock,
        Transport transport,
        ConnectionLimiter limiter,
        MemoryLimiter memory,
        Bootstrap bootstrap,
        long idleTimeoutUs,
        LearnedIdleLimit idleLimit) {
    EventLoop loop() {
        return transport.loop();
    }
}
