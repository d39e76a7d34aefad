/**
 * What both sides of the proxy share of HTTP/1.1: strict decoders, the protocol's header names and size limits.
 *
 * <p>The decoders are Netty handlers, one instance a connection, and belong to its pipeline; they run on the proxy's
 * event loop and release what they decode as Netty's decoders do. Everything else is stateless.
 */
package gaugegw.proxy.http;
