/**
 * The interface of the decision module: {@link gaugegw.balancer.api.BalancerSettings} at the start, then an
 * {@link gaugegw.balancer.api.Event} in and any number of {@link gaugegw.balancer.api.Action}s out.
 *
 * <p>All types are immutable values, except for {@link gaugegw.balancer.api.LoadBalancer}, which is confined to the one
 * thread of its proxy. Points in time are on the proxy's clock; they and all durations are in microseconds, as the
 * suffix {@code Us} says.
 */
package gaugegw.balancer.api;
