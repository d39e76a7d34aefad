/**
 * Connects the load balancer with the sockets. {@link gaugegw.proxy.dispatch.RequestDispatcher} is the entry point; it
 * turns what happens into events, and has the actions that the load balancer gives in return executed.
 *
 * <h2>The way of an event</h2>
 *
 * <ol>
 *   <li>A client's request, a client's disconnect, the end of an attempt, an update of the endpoint list or a timer
 *       becomes an {@link gaugegw.balancer.api.Event}.
 *   <li>{@code EventQueue} hands it to the load balancer, one event at a time.
 *   <li>{@code ActionExecutor} executes the actions that the load balancer gives, in their order. It is the one place
 *       that dispatches on their types; {@code AttemptStarter} does what concerns attempts.
 *   <li>An action may cause further events, as an attempt that cannot begin ends at once. Such an event waits in the queue
 *       until all actions of the event before it have been executed.
 * </ol>
 *
 * <h2>Who owns which state</h2>
 *
 * <ul>
 *   <li>{@code RequestTable} holds each request from its arrival until it is complete: its client has been answered or has
 *       gone, and no attempt of it is in flight.
 *   <li>{@code DispatchedRequest} holds the state of one request, its attempts and its timer. The client's side keeps the
 *       buffers of the request and releases them.
 *   <li>A response belongs to {@code AttemptStarter} when the attempt ends: it passes it to the
 *       {@link gaugegw.proxy.dispatch.ResponseSink}, which releases it, or releases it where no client waits any more.
 *   <li>{@code OverdueTimer} bounds the time of a request whatever the load balancer does.
 * </ul>
 *
 * <h2>Threading</h2>
 *
 * <p>Everything runs on the event loop. There are no locks and no volatile fields; the entry points assert that they are
 * called there. The constructor of the dispatcher and the setter of its watcher may be called on the thread that starts the
 * proxy, before the first event.
 */
package gaugegw.proxy.dispatch;
