/**
 * The foundation of the proxy's connections: the event loop, sockets, the limit on file descriptors and the clock.
 *
 * <p>Depends on Netty only; all other packages of the proxy may use it. A {@link gaugegw.proxy.transport.Transport}
 * owns its event loop. The classes of this package are used on its thread unless their documentation says otherwise.
 */
package gaugegw.proxy.transport;
