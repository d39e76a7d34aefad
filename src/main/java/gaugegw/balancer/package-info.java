/**
 * The load balancer of the proxy: decides which endpoint receives an attempt, which requests wait, and which ones are
 * retried, rejected or failed.
 *
 * <p>{@link gaugegw.balancer.EarliestDeadlineLoadBalancer} is the entry point. It passes each event to these classes:
 *
 * <ul>
 *   <li>Endpoints: {@code EndpointMembership} applies updates of the endpoint list, {@code EndpointHealth} derives the
 *       health of an endpoint from the outcomes of attempts, {@code EndpointWeights} sets the weights, and {@code
 *       SlowStartBudget} limits the attempts at an endpoint that has just started. {@code ProxyEndpointOrder} and
 *       {@code EndpointSubset} distribute the proxies over the endpoints.
 *   <li>Requests: {@code RequestPriority} and {@code TenantQuotas} determine the priority, {@code AdmissionQueue}
 *       orders the requests that wait, {@code CacheAffinity} finds the endpoint that probably has a key cached, and
 *       {@code ConcurrencyLimiter} limits the attempts in flight. {@code AdmissionController} starts attempts at the
 *       endpoint that {@code EarliestDeadlineSelector} selects by {@code PreferenceTier} and deadline.
 *   <li>Failures: {@code RetryPolicy} decides whether to retry, within the {@code RetryBudget}; {@code
 *       DuplicateExecutionGuard} decides where a repeated attempt is harmless; {@code RejectionPolicy} chooses the
 *       final answer, and {@code RetryAfter} the time after which a rejected client should retry.
 *   <li>Discovery: {@code DiscoveryPolling} and {@code DiscoveryBackoff} decide when to request the endpoint list.
 * </ul>
 *
 * <p>An instance serves one proxy and is confined to one thread. It has no clock and does no I/O. The time comes with
 * each event, in microseconds, and random numbers are generated from the seed in the settings, so that equal settings
 * and events give equal actions. For this reason, no decision depends on the iteration order of a hash table.
 */
package gaugegw.balancer;
