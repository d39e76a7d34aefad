package gaugegw.proxy.discovery;

import java.util.List;
import java.util.OptionalLong;

/**
 * The endpoint list that a proxy had before its restart.
 *
 * @param version its version; empty where it has none, and deltas cannot follow on it
 * @param endpoints the entries that can be read, in their order; empty at a first start
 */
record CachedEndpointList(OptionalLong version, List<ListedEndpoint> endpoints) {}
