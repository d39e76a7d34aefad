package gaugegw.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes the requests of clients. Decoding fails if the framing is ambiguous; see {@link FramingChecks}. Keeps no more
 * memory for an incomplete request than {@link #heapBytes} says. Used on the event loop only.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {
    private final PartialHead partialHead = new PartialHead();
    private long decodedParts;

    /** Returns the memory held on the Java heap for what has not been passed on yet, in bytes. */
    public long heapBytes() {
        return partialHead.heapBytes() + internalBuffer().capacity();
    }

    /** Returns the number of header lines and of parts of bodies that have been decoded. */
    public long decodedParts() {
        return decodedParts;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        super.channelRead(ctx, message instanceof ByteBuf read ? ReadBuffers.copyAndRelease(read) : message);
        ReadBuffers.trim(internalBuffer());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
        int before = bytes.readableBytes();
        super.decode(ctx, bytes, out);
        decodedParts += out.size();
        partialHead.decoded(before - bytes.readableBytes(), !out.isEmpty());
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw FramingChecks.conflictingLengths();
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        decodedParts++;
        partialHead.lineDecoded();
        FramingChecks.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }
}
