/**
 * The command line of gaugegw, a reverse proxy that balances HTTP/1.1 requests over the backends that discovery lists.
 *
 * <p>{@link gaugegw.balancer} decides, without a clock or a socket of its own; {@link gaugegw.proxy} carries its
 * decisions out on sockets, and {@link gaugegw.simulator} on the simulator's wire. {@link gaugegw.settings} reads the
 * settings for both.
 */
package gaugegw;
