/**
 * HTTP/1.1 support for connections of clients and to backends: strict decoders, header names and size limits.
 *
 * <p>The decoders are Netty handlers; the pipeline of each connection has an instance of its own. They run on the
 * proxy's event loop and release the buffers that they decode, as Netty's decoders do. Everything else is stateless.
 */
package gaugegw.proxy.http;
