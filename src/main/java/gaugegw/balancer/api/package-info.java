/**
 * The interface of the load balancer. A load balancer is created with {@link gaugegw.balancer.api.BalancerSettings}. It
 * then handles one {@link gaugegw.balancer.api.Event} at a time and passes any number of {@link
 * gaugegw.balancer.api.Action}s to the proxy.
 *
 * <p>All types are immutable values, except for {@link gaugegw.balancer.api.LoadBalancer}, which is confined to the one
 * thread of its proxy. Points in time are on the proxy's clock. Points in time and durations are in
 * microseconds, which the suffix {@code Us} indicates.
 */
package gaugegw.balancer.api;
