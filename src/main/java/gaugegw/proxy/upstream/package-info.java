/**
 * Connections to the backends, and the attempts that use them.
 *
 * <p>{@link gaugegw.proxy.upstream.UpstreamClient} holds one {@link gaugegw.proxy.upstream.UpstreamEndpoint} for each
 * listed backend. An endpoint owns its {@link gaugegw.proxy.upstream.UpstreamConnectionPool} and the set of its
 * attempts in flight. An {@link gaugegw.proxy.upstream.UpstreamAttempt} acquires a connection, writes one request and
 * reports one outcome to its {@link gaugegw.proxy.upstream.AttemptListener}. This package never retries an attempt.
 *
 * <p>The handlers in the pipeline of a connection, starting at the socket: {@code HttpRequestEncoder}, {@link
 * gaugegw.proxy.http.StrictResponseDecoder}, {@link gaugegw.proxy.upstream.ResponseAggregator}, {@code IdleStateHandler}, {@link
 * gaugegw.proxy.upstream.UpstreamConnectionHandler}. A connection carries at most one attempt at a time. While it
 * carries one, the handler owns the response that is being received; while it carries none, it is in the pool.
 *
 * <p>Buffers: the caller owns the body of an {@link gaugegw.proxy.upstream.UpstreamRequest}; an attempt writes a
 * retained duplicate, which the encoder releases. The listener that receives an {@link
 * gaugegw.proxy.upstream.UpstreamResponse} owns its body; the connection's handler releases all other responses.
 *
 * <p>Threading: everything in this package runs on the proxy's event loop, without synchronization.
 */
package gaugegw.proxy.upstream;
