package gaugegw.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes the responses of a backend and counts the received bytes. Decoding fails if the framing is ambiguous; see
 * {@link FramingChecks}. Keeps no more memory for an incomplete response than {@link #heapBytes} says. Used on the event
 * loop only.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
    private final PartialHead partialHead = new PartialHead();
    private long receivedBytes;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf received) {
            receivedBytes += received.readableBytes();
            super.channelRead(ctx, ReadBuffers.copyAndRelease(received));
        } else {
            super.channelRead(ctx, message);
        }
        ReadBuffers.trim(internalBuffer());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
        int before = bytes.readableBytes();
        super.decode(ctx, bytes, out);
        partialHead.decoded(before - bytes.readableBytes(), !out.isEmpty());
    }

    /** Returns the memory held on the Java heap for what has not been passed on yet, in bytes. */
    public long heapBytes() {
        return partialHead.heapBytes() + internalBuffer().capacity();
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
        throw FramingChecks.conflictingLengths();
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        partialHead.lineDecoded();
        FramingChecks.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }
}
