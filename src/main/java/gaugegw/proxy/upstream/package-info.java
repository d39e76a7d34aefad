/**
 * The connections to the backends and the attempts that are sent over them.
 *
 * <p>{@link gaugegw.proxy.upstream.UpstreamClient} holds one {@link gaugegw.proxy.upstream.UpstreamEndpoint} for each
 * listed backend; an endpoint owns its {@link gaugegw.proxy.upstream.UpstreamConnectionPool} and the set of its
 * attempts in flight. An {@link gaugegw.proxy.upstream.UpstreamAttempt} acquires a connection, writes one request and
 * reports one outcome to its {@link gaugegw.proxy.upstream.AttemptListener}; it is never retried here.
 *
 * <p>The pipeline of a connection, from the socket: {@code HttpRequestEncoder}, {@link
 * gaugegw.proxy.http.StrictResponseDecoder}, {@code HttpObjectAggregator}, {@code IdleStateHandler}, {@link
 * gaugegw.proxy.upstream.UpstreamConnectionHandler}. A connection carries one attempt at a time: while it does, the
 * handler owns the attempt's response; otherwise it is in its pool.
 *
 * <p>Buffers: the body of an {@link gaugegw.proxy.upstream.UpstreamRequest} belongs to the caller, and an attempt
 * writes a retained duplicate, which the encoder releases. The body of an {@link
 * gaugegw.proxy.upstream.UpstreamResponse} belongs to the listener that is given it; other responses are released by
 * the connection's handler.
 *
 * <p>Threading: everything here runs on the proxy's event loop and nothing is synchronized.
 */
package gaugegw.proxy.upstream;
