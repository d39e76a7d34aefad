/**
 * The decisions of the proxy: which endpoint receives an attempt, what waits, what is retried and what is given up.
 *
 * <p>{@link gaugegw.balancer.EarliestDeadlineLoadBalancer} is the entry. It takes the events and calls the parts:
 *
 * <ul>
 *   <li>Endpoints: {@code EndpointMembership} applies the endpoint list, {@code EndpointHealth} judges by the outcomes
 *       of attempts, {@code EndpointWeights} sets the weights, {@code SlowStartBudget} protects what has just started,
 *       {@code ProxyEndpointOrder} and {@code EndpointSubset} spread the proxies over the endpoints.
 *   <li>Requests: {@code RequestPriority} and {@code TenantQuotas} set the priority, {@code AdmissionQueue} orders the
 *       waiting, {@code CacheAffinity} finds the endpoint with a key cached, {@code ConcurrencyLimiter} bounds the
 *       attempts in flight, {@code AdmissionController} starts them at the endpoint that {@code
 *       EarliestDeadlineSelector} selects by {@code PreferenceTier} and deadline.
 *   <li>Failures: {@code RetryPolicy} decides on a retry within the {@code RetryBudget}, {@code
 *       DuplicateExecutionGuard} where a repeat is harmless, {@code RejectionPolicy} gives the final answer, with a
 *       {@code RetryAfter}.
 *   <li>Discovery: {@code DiscoveryPolling} and {@code DiscoveryBackoff} decide when to poll the endpoint list.
 * </ul>
 *
 * <p>Threading: an instance serves one proxy and is confined to one thread. It has no clock and does no I/O. Time comes
 * in with each event, in microseconds, and random numbers come from the seed in the settings, so that equal settings
 * and events give equal actions. For this reason no decision depends on the iteration order of a hash table.
 */
package gaugegw.balancer;
