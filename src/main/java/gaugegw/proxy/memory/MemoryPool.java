package gaugegw.proxy.memory;

/** One kind of memory: how much of it unfinished messages may hold, and how much they hold. */
final class MemoryPool {
    /**
     * Share of the capacity that may be used while requests are accepted, in percent. The rest is for the responses to
     * the requests that were accepted.
     */
    private static final int REQUEST_PERCENT = 75;
    /** Share of the capacity that is freed beyond the limit, in percent, so that not every read has to shed. */
    private static final int HEADROOM_PERCENT = 5;

    private final String name;
    private final long capacityBytes;
    private long usedBytes;

    MemoryPool(String name, long capacityBytes) {
        this.name = name;
        this.capacityBytes = capacityBytes;
    }

    String name() {
        return name;
    }

    long usedBytes() {
        return usedBytes;
    }

    void add(long bytes) {
        usedBytes += bytes;
    }

    /** Returns whether so much is used that the messages of a stage are given up. */
    boolean isExceeded(ShedStage stage) {
        return usedBytes > limitBytes(stage);
    }

    /** Returns the number of bytes to which shedding the messages of a stage is to reduce the use. */
    long targetBytes(ShedStage stage) {
        return limitBytes(stage) - capacityBytes * HEADROOM_PERCENT / 100;
    }

    long limitBytes(ShedStage stage) {
        return stage == ShedStage.WAITING_FOR_CLIENT ? capacityBytes * REQUEST_PERCENT / 100 : capacityBytes;
    }
}
