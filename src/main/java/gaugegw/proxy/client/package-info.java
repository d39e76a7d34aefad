/**
 * The connections of clients, their requests and the responses to them.
 *
 * <p>{@link gaugegw.proxy.client.Frontend} accepts connections; {@link gaugegw.proxy.client.ClientContext} is what they
 * share. A {@link gaugegw.proxy.client.ClientConnection} owns its current {@link gaugegw.proxy.client.ClientExchange},
 * the {@link gaugegw.proxy.client.PipelinedRequests} behind it and its {@link gaugegw.proxy.client.ClosingSequence}. An
 * exchange owns one complete request: it has it parsed by the {@link gaugegw.proxy.client.ClientRequestParser},
 * dispatches it, and is the {@link gaugegw.proxy.dispatch.ResponseSink} for its one response. Responses are written in
 * the order of the requests.
 *
 * <p>The pipeline of a connection, from the socket: {@link gaugegw.proxy.client.ClientConnection}, {@link
 * gaugegw.proxy.http.StrictRequestDecoder}, {@code HttpResponseEncoder}, {@link
 * gaugegw.proxy.client.RequestAggregator}, {@link gaugegw.proxy.client.ClientRequestHandler}. The connection comes
 * first, as it drops bytes that are not to be decoded; the decoder is removed once an invalid request has been read.
 *
 * <p>Buffers: the exchange releases its request when it responds, or when the client has disconnected. A response is
 * released by the encoder once it is written, or by the exchange if it comes too late. The closing sequence releases a
 * final error that could not be sent.
 *
 * <p>Threading: everything here runs on the proxy's event loop and nothing is synchronized.
 */
package gaugegw.proxy.client;
