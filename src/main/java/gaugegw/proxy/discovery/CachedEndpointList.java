package gaugegw.proxy.discovery;

import java.util.List;
import java.util.OptionalLong;

/**
 * The endpoint list that a proxy had before its restart.
 *
 * @param version the version of the list; empty if it has none, so that no delta can be applied to it
 * @param endpoints the valid entries, in order; empty at a first start
 */
record CachedEndpointList(OptionalLong version, List<ListedEndpoint> endpoints) {}
