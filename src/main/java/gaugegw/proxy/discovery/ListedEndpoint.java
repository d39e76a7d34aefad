package gaugegw.proxy.discovery;

import gaugegw.balancer.api.Endpoint;
import java.net.InetSocketAddress;

/**
 * An entry of discovery's endpoint list.
 *
 * @param endpoint the endpoint as the load balancer sees it
 * @param address the address at which this proxy reaches the endpoint; it may differ between proxies
 */
public record ListedEndpoint(Endpoint endpoint, InetSocketAddress address) {}
