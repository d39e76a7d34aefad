/**
 * What the proxy's connections are made of: the event loop, sockets, descriptors and time.
 *
 * <p>Depends on Netty alone; all other packages of the proxy may use it. A {@link gaugegw.proxy.transport.Transport}
 * owns its event loop, the one thread that uses the classes of this package.
 */
package gaugegw.proxy.transport;
