package gaugegw.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects the body of one message, as its parts arrive, in one direct buffer. The parts are copied: a part shares its
 * memory with the buffer of the read in which it arrived, which may be much larger than the part. Thus the capacity is
 * at most twice the number of bytes in the body, whatever the size and number of the parts, and it is not taken from the
 * allocator's pool, where one small buffer can keep a large chunk in use.
 *
 * <p>This class owns its buffer until {@link #take} or {@link #release}. Used on the event loop only.
 */
public final class BodyBuffer {
    private static final int MIN_CAPACITY = 256;

    private final int maxBytes;
    private ByteBuf collected = Unpooled.EMPTY_BUFFER;

    /**
     * Creates an empty body.
     *
     * @param maxBytes the maximum length of the body, in bytes
     */
    public BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Appends a part, which the caller still owns.
     *
     * @return false if the body would become too long, in which case nothing is appended
     */
    public boolean append(ByteBuf part) {
        int length = collected.readableBytes() + part.readableBytes();
        if (length > maxBytes) {
            return false;
        }
        if (length > collected.capacity()) {
            grow(length);
        }
        if (part.isReadable()) {
            collected.writeBytes(part, part.readerIndex(), part.readableBytes());
        }
        return true;
    }

    private void grow(int length) {
        int capacity = Math.min(maxBytes, Math.max(length, Math.max(MIN_CAPACITY, 2 * collected.capacity())));
        ByteBuf larger = Unpooled.directBuffer(capacity, capacity);
        larger.writeBytes(collected, collected.readerIndex(), collected.readableBytes());
        collected.release();
        collected = larger;
    }

    /** Returns the size of the buffer in bytes; 0 if no byte has been appended. */
    public int capacity() {
        return collected.capacity();
    }

    /** Returns the body, which the caller then owns, and begins a new, empty one. */
    public ByteBuf take() {
        ByteBuf body = collected;
        collected = Unpooled.EMPTY_BUFFER;
        return body;
    }

    /** Releases what has been appended. The body is empty afterwards. */
    public void release() {
        take().release();
    }
}
