/**
 * What the tests of the proxy share: a proxy on loopback with a decision module that the test gives, and the clients,
 * backends and discovery around it, which the test plays over plain sockets.
 *
 * <p>Everything that a test opens it also closes. Waits end with an error after ten seconds.
 */
package gaugegw.proxy.testing;
