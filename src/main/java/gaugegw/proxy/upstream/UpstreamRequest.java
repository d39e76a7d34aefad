package gaugegw.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as it is sent to a backend. Each attempt sends the same request, except for the remaining timeout.
 *
 * @param method the client's method, unchanged
 * @param uri the client's path and query, unchanged; ASCII only, as the encoder would alter other characters
 * @param headers the client's headers; hop-by-hop headers are removed when the request is written
 * @param body the client's body; the caller releases it, and each attempt writes a retained duplicate
 */
public record UpstreamRequest(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body) {}
