package gaugegw.proxy.memory;

import io.netty.util.internal.PlatformDependent;

/**
 * The memory that the unfinished messages of all connections together may hold.
 *
 * @param heapBytes bytes on the Java heap
 * @param directBytes bytes of direct buffers
 */
public record MemoryBudget(long heapBytes, long directBytes) {
    private static final long MIB = 1024 * 1024;
    /** Share of the Java heap; the rest is for the endpoint list, the load balancer, connections and garbage. */
    private static final int HEAP_PERCENT = 25;
    /** Direct memory for a response of discovery, which must be received however many clients there are. */
    private static final long DISCOVERY_BYTES = 8 * MIB;
    /** Direct memory for the buffers of reads and writes in progress, with what the allocator keeps for reuse. */
    private static final long IO_BYTES = 4 * MIB;
    /**
     * Memory of the Java runtime besides the heap and direct buffers, when the process has been running for a while:
     * classes, compiled code, thread stacks and the runtime's own structures.
     */
    private static final long RUNTIME_BYTES = 64 * MIB;
    /** Share of the memory limit that bodies may hold even if all else could use up the rest. */
    private static final int MIN_DIRECT_PERCENT = 12;
    /** With less than this, not even a few clients with long bodies could be served at the same time. */
    private static final long MIN_DIRECT_BYTES = 2 * MIB;

    /**
     * Returns the budget for this Java runtime.
     *
     * @param memoryLimitBytes the memory limit of the process in bytes; {@code Long.MAX_VALUE} if there is none
     */
    public static MemoryBudget ofRuntime(long memoryLimitBytes) {
        return of(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory(), memoryLimitBytes);
    }

    /**
     * Returns the budget for given limits, all in bytes.
     *
     * @param maxHeapBytes the maximum size of the Java heap
     * @param maxDirectBytes the maximum size of all direct buffers
     * @param memoryLimitBytes the memory limit of the process
     */
    static MemoryBudget of(long maxHeapBytes, long maxDirectBytes, long memoryLimitBytes) {
        long allowedByRuntime = maxDirectBytes - DISCOVERY_BYTES - IO_BYTES;
        long allowedByLimit = memoryLimitBytes - RUNTIME_BYTES - maxHeapBytes - DISCOVERY_BYTES - IO_BYTES;
        long minimum = memoryLimitBytes / 100 * MIN_DIRECT_PERCENT;
        long directBytes = Math.min(allowedByRuntime, Math.max(minimum, allowedByLimit));
        return new MemoryBudget(maxHeapBytes / 100 * HEAP_PERCENT, Math.max(MIN_DIRECT_BYTES, directBytes));
    }
}
