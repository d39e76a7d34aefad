package gaugegw.proxy.dispatch;

import gaugegw.proxy.upstream.UpstreamRequest;

/**
 * A request that the proxy has received completely from a client.
 *
 * @param id the request id that the client has set, unique among the requests in flight
 * @param requestClass the name of the request class, one of those in the settings
 * @param tenant the name of the tenant; null if the settings define no tenants
 * @param affinityKey the object that the request is about, for cache affinity; null if the client names none
 * @param retry whether the client has marked the request as a retry
 * @param deadlineAtUs the latest time at which a response can leave the proxy and still reach the client before it
 *     gives up, on the proxy's clock, in microseconds
 * @param upstreamRequest the request to forward to a backend; its body belongs to the client connection, which releases
 *     it
 */
public record ClientRequest(
        String id,
        String requestClass,
        String tenant,
        String affinityKey,
        boolean retry,
        long deadlineAtUs,
        UpstreamRequest upstreamRequest) {}
