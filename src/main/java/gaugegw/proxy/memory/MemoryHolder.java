package gaugegw.proxy.memory;

/** A connection whose unfinished messages hold memory. Used on the event loop only. */
public interface MemoryHolder {
    /** Returns how much memory {@link #shed} would free. */
    MemoryUse sheddable(ShedStage stage);

    /**
     * Gives up the messages of a stage and frees their memory before it returns. Called at any time except while this
     * connection itself is decoding a message.
     */
    void shed(ShedStage stage);

    /** Returns the peer in a form for the log, such as {@code client /10.0.0.7:40112}. */
    String peer();
}
