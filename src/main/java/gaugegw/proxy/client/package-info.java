/**
 * The client side of the proxy: client connections, their requests, and the responses to them.
 *
 * <p>{@link gaugegw.proxy.client.Frontend} accepts the connections, which share one {@link
 * gaugegw.proxy.client.ClientContext}. Each {@link gaugegw.proxy.client.ClientConnection} owns its current {@link
 * gaugegw.proxy.client.ClientExchange}, the {@link gaugegw.proxy.client.PipelinedRequests} that follow it, and its
 * {@link gaugegw.proxy.client.ClosingSequence}. An exchange owns one complete request: it has the {@link
 * gaugegw.proxy.client.ClientRequestParser} parse it, dispatches the result, and receives the one response as its
 * {@link gaugegw.proxy.dispatch.ResponseSink}. Responses are written in the order of their requests.
 *
 * <p>The handlers of a connection's pipeline, starting at the socket: {@link gaugegw.proxy.client.ClientConnection},
 * {@link gaugegw.proxy.http.StrictRequestDecoder}, {@code HttpResponseEncoder}, {@link
 * gaugegw.proxy.client.RequestAggregator}, {@link gaugegw.proxy.client.ClientExceptionHandler}. {@code ClientConnection}
 * comes first because it drops bytes that must not be decoded. The decoder is removed once the connection has a final
 * error, after which it is closed.
 *
 * <p>Buffer ownership: the aggregator owns an incomplete request. An exchange releases its request when it responds, when the client has disconnected, or when the
 * exchange is dropped before it has begun. The encoder releases a response once it is written; the exchange releases a
 * response that it can no longer send. The closing sequence releases a final error that was not sent. Each
 * connection reports the memory that its messages hold to its {@link gaugegw.proxy.memory.MemoryAccount}, which may make
 * it give up requests that have not been dispatched.
 *
 * <p>Threading: everything in this package runs on the proxy's event loop, except where {@link
 * gaugegw.proxy.client.Frontend} says otherwise, and nothing is synchronized.
 */
package gaugegw.proxy.client;
