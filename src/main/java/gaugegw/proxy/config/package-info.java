/**
 * The configuration of a proxy: its file, its contents and the errors that it can have.
 *
 * <p>Depends on {@link gaugegw.settings}, which interprets the settings, and on {@link gaugegw.balancer.api}.
 * {@link gaugegw.proxy.config.JsonTrees} and {@link gaugegw.proxy.config.SocketAddresses} also serve to parse the
 * responses of discovery.
 *
 * <p>No configuration file is read on the event loop: it is read on the main thread, on a signal thread or on the
 * thread of the file watcher. The resulting configuration is immutable.
 */
package gaugegw.proxy.config;
