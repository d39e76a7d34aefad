package gaugegw.proxy.discovery;

import gaugegw.balancer.api.Endpoint;
import java.net.InetSocketAddress;

/**
 * An entry of discovery's endpoint list.
 *
 * @param endpoint what the load balancer sees of it
 * @param address where this proxy reaches it; may differ from proxy to proxy
 */
public record ListedEndpoint(Endpoint endpoint, InetSocketAddress address) {}
