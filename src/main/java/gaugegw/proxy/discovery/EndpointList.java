package gaugegw.proxy.discovery;

import java.util.List;

/**
 * An endpoint list as received from discovery.
 *
 * @param version the version of the proxy's list once this one is applied; not negative
 * @param full whether it is a snapshot, which contains all endpoints, or a delta, which contains those that have
 *     changed
 * @param endpoints the valid entries, in order
 */
record EndpointList(long version, boolean full, List<ListedEndpoint> endpoints) {}
