package gaugegw.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Makes the buffers that decoders keep as small as their contents. The buffer of a read has the size of the largest
 * recent read, up to 64 KiB. If a decoder kept it for one byte of an incomplete message, a client could hold many times
 * the memory of what it has sent.
 */
final class ReadBuffers {
    private ReadBuffers() {}

    /** Returns a copy on the Java heap, which has exactly the size of its contents, and releases the buffer. */
    static ByteBuf copyAndRelease(ByteBuf read) {
        try {
            ByteBuf copy = Unpooled.buffer(read.readableBytes());
            return copy.writeBytes(read);
        } finally {
            read.release();
        }
    }

    /** Frees the part of a decoder's buffer that does not hold undecoded bytes. */
    static void trim(ByteBuf undecoded) {
        if (undecoded.refCnt() == 1 && undecoded.capacity() > undecoded.readableBytes()) {
            undecoded.discardReadBytes();
            undecoded.capacity(undecoded.writerIndex());
        }
    }
}
