/**
 * The configuration of a proxy: its file, what it says, and what can be wrong with it.
 *
 * <p>Depends on {@link gaugegw.settings}, which gives the settings their meaning, and on
 * {@link gaugegw.balancer.api}. {@link gaugegw.proxy.config.JsonTrees} and
 * {@link gaugegw.proxy.config.SocketAddresses} read JSON and addresses for discovery too.
 *
 * <p>Nothing here runs on the event loop at a reload: files are read on the main thread, a signal thread or the
 * watcher's thread. The values that are read are immutable.
 */
package gaugegw.proxy.config;
