/**
 * Shared helpers of the proxy's tests: a proxy on the loopback interface with a load balancer that the test provides,
 * and the clients, backends and discovery server around it, which the test controls over plain sockets.
 *
 * <p>A test closes everything that it opens. Waits fail with an error after ten seconds.
 */
package gaugegw.proxy.testing;
