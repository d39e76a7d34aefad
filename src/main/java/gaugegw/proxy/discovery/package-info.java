/**
 * Keeps the proxy's endpoint list up to date by calls to the service discovery, or to an agent of it on the proxy's own
 * machine. {@link gaugegw.proxy.discovery.EndpointWatcher} is the entry point.
 *
 * <h2>The way of a list change</h2>
 *
 * <ol>
 *   <li>{@code EndpointWatcher} sends a {@code DiscoveryCall} with the version of the list that it has. Discovery holds the
 *       call until there is an update or the hold is over.
 *   <li>{@code DiscoveryCall} has {@code EndpointListParser} read the response. An endpoint that can't be read is left out.
 *   <li>The watcher checks that a delta follows on its version, and sends the next call before anything else: a watch
 *       continues only if that one arrives within 200 ms of the last response.
 *   <li>{@link gaugegw.proxy.discovery.EndpointUpdateListener} is notified of the snapshot or delta. It applies it to the
 *       connections and to the load balancer; the watcher itself keeps no endpoints.
 * </ol>
 *
 * <p>When a call fails for any {@code DiscoveryFailure}, the watch has ended. Where discovery is a service, the listener is
 * notified and the load balancer decides when to poll again; a local agent is called again after a short delay. The bounds
 * on all of it follow from how soon a change must be in force, and are written down in {@code CallTiming}.
 *
 * <h2>Who owns which state</h2>
 *
 * <ul>
 *   <li>{@code EndpointWatcher}: the address, the version of the cached list, and the one call in flight.
 *   <li>{@code DiscoveryCall}: its connection and its timeout. Both are gone when it notifies its listener.
 * </ul>
 *
 * <h2>Threading</h2>
 *
 * <p>Everything runs on the event loop, and the entry points assert it. There are two exceptions, which are said there: the
 * watcher's answer whether there is a local agent, and its future of the first call.
 */
package gaugegw.proxy.discovery;
