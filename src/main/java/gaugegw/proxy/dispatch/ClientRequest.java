package gaugegw.proxy.dispatch;

import gaugegw.proxy.upstream.UpstreamRequest;

/**
 * A request that a client has sent completely.
 *
 * @param id the client's request id, unique among the requests being served
 * @param requestClass the name of its class, one of those in the settings
 * @param tenant the name of its tenant; null where the settings have no tenants
 * @param key what the request concerns, for cache affinity; null where it has none
 * @param retry whether the client has marked it as a retry of its own
 * @param deadlineAtUs on the proxy's clock, in microseconds: the last moment at which a response can leave the proxy and
 *     still reach the client before it gives up
 * @param upstreamRequest what is forwarded to a backend; its body stays the property of the client's side, which releases it
 */
public record ClientRequest(
        String id,
        String requestClass,
        String tenant,
        String key,
        boolean retry,
        long deadlineAtUs,
        UpstreamRequest upstreamRequest) {}
