/**
 * The interface of the load balancer. It is created with {@link gaugegw.balancer.api.BalancerSettings}, then takes one
 * {@link gaugegw.balancer.api.Event} at a time and returns any number of {@link gaugegw.balancer.api.Action}s for it.
 *
 * <p>All types are immutable values, except for {@link gaugegw.balancer.api.LoadBalancer}, which is confined to the one
 * thread of its proxy. Points in time are on the proxy's clock. Points in time and durations are in
 * microseconds, which the suffix {@code Us} indicates.
 */
package gaugegw.balancer.api;
