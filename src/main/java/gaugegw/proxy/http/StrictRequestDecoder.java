package gaugegw.proxy.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/** Decodes the requests of clients. Decoding fails if the framing is ambiguous; see {@link FramingChecks}. */
public final class StrictRequestDecoder extends HttpRequestDecoder {
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw FramingChecks.bothLengths();
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        FramingChecks.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }
}
