package gaugegw.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete 200 response from a backend.
 *
 * @param headers the backend's headers, including hop-by-hop headers
 * @param body the complete body; the receiver must release it
 */
public record UpstreamResponse(HttpHeaders headers, ByteBuf body) {}
