package gaugegw.proxy.discovery;

import java.util.List;

/**
 * An endpoint list as discovery sends it.
 *
 * @param version the version that the list brings a proxy to; not negative
 * @param full whether it is a snapshot, which names all endpoints, or a delta, which names those that have changed
 * @param endpoints the entries that can be read, in their order
 */
record EndpointList(long version, boolean full, List<ListedEndpoint> endpoints) {}
