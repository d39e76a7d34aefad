package gaugegw.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * The request that goes to a backend; it is the same for each attempt, except for the remaining time-out.
 *
 * @param method the client's method, unchanged
 * @param uri the client's path and query, unchanged
 * @param headers the client's headers; hop-by-hop headers are left out when the request is written
 * @param body the client's body, owned by the client's side: an attempt writes a retained duplicate
 */
public record UpstreamRequest(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body) {}
