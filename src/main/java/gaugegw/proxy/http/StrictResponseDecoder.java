package gaugegw.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes the responses of a backend and counts the received bytes. Decoding fails if the framing is ambiguous; see
 * {@link FramingChecks}. Used on the event loop only.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
    private long receivedBytes;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf received) {
            receivedBytes += received.readableBytes();
        }
        super.channelRead(ctx, message);
    }

    /** Returns the number of bytes received since the last call of {@link #resetReceivedBytes}, decoded or not. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** Resets the number of received bytes to zero. */
    public void resetReceivedBytes() {
        receivedBytes = 0;
    }

    /** Returns whether there are received bytes that have not been decoded yet. */
    public boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

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
