/**
 * HTTP/1.1 support for client and backend connections: strict decoders, the collection of bodies, header names, size limits and estimates.
 *
 * <p>The decoders are Netty handlers; each connection has its own instance in its pipeline. They run on the
 * proxy's event loop and release the buffers that they decode, as Netty's decoders do. Everything else is stateless.
 */
package gaugegw.proxy.http;
