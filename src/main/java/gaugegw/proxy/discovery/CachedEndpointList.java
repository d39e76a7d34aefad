package gaugegw.proxy.discovery;

import java.util.List;
import java.util.OptionalLong;

/**
 * The endpoint list that a proxy had before its restart.
 *
 * @param version the version of the list; empty if the list states none: then no delta can be applied to it, and the
 *     first call to discovery asks for the complete list
 * @param endpoints the valid entries, in order; empty if the proxy has no cached list
 */
record CachedEndpointList(OptionalLong version, List<ListedEndpoint> endpoints) {}
