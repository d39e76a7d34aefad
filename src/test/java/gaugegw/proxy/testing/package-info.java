/**
 * Shared helpers of the proxy's tests: a proxy on the loopback interface with a load balancer that the test provides,
 * and the clients, backends and discovery server around it, which the test controls over plain sockets.
 *
 * <p>A test closes everything that it opens. Waits for a connection, a message, an event or a condition fail with an
 * error after ten seconds; {@link gaugegw.proxy.testing.RawConnection#awaitClose} returns false instead. {@link
 * gaugegw.proxy.testing.ScriptedServer#await(java.util.concurrent.CountDownLatch)} waits without a limit.
 */
package gaugegw.proxy.testing;
