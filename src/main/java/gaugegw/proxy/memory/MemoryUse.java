package gaugegw.proxy.memory;

/**
 * An amount of memory.
 *
 * @param heapBytes bytes on the Java heap: message heads, and bytes that have not been decoded
 * @param directBytes bytes of direct buffers: message bodies, and bytes that have not been written to a socket
 */
public record MemoryUse(long heapBytes, long directBytes) {
    public static final MemoryUse NONE = new MemoryUse(0, 0);

    /** Returns the sum of this amount and another one. */
    public MemoryUse plus(MemoryUse other) {
        return new MemoryUse(heapBytes + other.heapBytes, directBytes + other.directBytes);
    }
}
