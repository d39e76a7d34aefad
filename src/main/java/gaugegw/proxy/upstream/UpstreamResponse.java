package gaugegw.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete 200 response of a backend.
 *
 * @param headers the backend's headers, hop-by-hop ones included
 * @param body the complete body; the receiver of the response releases it
 */
public record UpstreamResponse(HttpHeaders headers, ByteBuf body) {}
