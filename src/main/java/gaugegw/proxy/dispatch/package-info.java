/**
 * Connects the load balancer with the proxy's connections. {@link gaugegw.proxy.dispatch.RequestDispatcher} is the
 * entry point: it turns what happens into events, and has the actions executed that the load balancer requests in
 * return.
 *
 * <h2>How an event is handled</h2>
 *
 * <ol>
 *   <li>A client's request or disconnect, the end of an attempt, an update of the endpoint list or a timer becomes an
 *       {@link gaugegw.balancer.api.Event}.
 *   <li>{@code EventQueue} delivers the events to the load balancer one at a time.
 *   <li>{@code ActionExecutor} executes the actions that the load balancer requests, in order. It is the only class
 *       that distinguishes the types of action; {@code AttemptStarter} handles those that concern attempts.
 *   <li>An action may cause further events: an attempt that cannot start, for example, ends at once. Such an event
 *       waits in the queue until all actions of the current event have been executed.
 * </ol>
 *
 * <h2>Ownership of state</h2>
 *
 * <ul>
 *   <li>{@code RequestTable} holds each request from its arrival until it is complete: its client has a response or has
 *       disconnected, and none of its attempts is in flight.
 *   <li>{@code DispatchedRequest} holds the state of one request, its attempts and its timer. The client connection
 *       owns the buffers of the request and releases them.
 *   <li>{@code AttemptStarter} owns a response when the attempt ends. It passes the response to the
 *       {@link gaugegw.proxy.dispatch.ResponseSink}, which releases it, or releases it itself if no client waits for
 *       it.
 *   <li>{@code OverdueTimer} limits the time of a request, whatever the load balancer does.
 * </ul>
 *
 * <h2>Threading</h2>
 *
 * <p>Everything runs on the event loop. There are no locks and no volatile fields; the entry points assert that they
 * are called there. The constructor and {@code setEndpointWatcher} of the dispatcher may be called on the thread that
 * starts the proxy, before the first event.
 */
package gaugegw.proxy.dispatch;
