/**
 * Keeps the proxy's endpoint list up to date by calls to service discovery. Discovery is either a service that all
 * proxies share, or a local agent on the proxy's own machine. {@link gaugegw.proxy.discovery.EndpointWatcher} is the
 * entry point.
 *
 * <h2>How a change of the list reaches the proxy</h2>
 *
 * <ol>
 *   <li>{@code EndpointWatcher} sends a {@code DiscoveryCall} with the version of the list that the proxy has. The call
 *       is a long poll: discovery holds it until there is an update or the hold time is over.
 *   <li>{@code DiscoveryCall} has {@code EndpointListParser} parse the response. Malformed entries are ignored.
 *   <li>The watcher checks that a delta can be applied to its version, and sends the next call before anything else: a
 *       watch continues only if that call arrives within 200 ms of the last response.
 *   <li>{@link gaugegw.proxy.discovery.EndpointUpdateListener} is notified of the snapshot or delta. It applies the
 *       update to the connections and to the load balancer; the watcher itself keeps no endpoints.
 * </ol>
 *
 * <p>A call that ends with any {@code DiscoveryFailure} ends the watch. If discovery is a service, the listener is
 * notified and the load balancer decides when to poll again; a local agent is called again after a short delay.
 * {@code CallTiming} contains the time limits, which follow from how soon a change must be applied.
 *
 * <h2>Ownership of state</h2>
 *
 * <ul>
 *   <li>{@code EndpointWatcher}: the address of discovery, the version of the proxy's list, and the call in flight.
 *   <li>{@code DiscoveryCall}: its connection and its timeout. The connection is closed and the timeout cancelled
 *       before it notifies its listener.
 * </ul>
 *
 * <h2>Threading</h2>
 *
 * <p>Everything runs on the event loop, and the entry points assert it, except for two methods of the watcher that may
 * be called on any thread: {@code hasLocalAgent} and {@code firstCallFuture}.
 */
package gaugegw.proxy.discovery;
