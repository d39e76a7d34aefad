package gaugegw.proxy.memory;

/** What the {@link MemoryLimiter} makes connections give up, in the order in which it does so. */
public enum ShedStage {
    /**
     * Messages that wait for a client: requests that are incomplete or that have not been dispatched, and responses that
     * the client does not read. No backend has received these requests, so each can be rejected, and a retry by the
     * client is harmless. A connection with an unread response is closed.
     */
    WAITING_FOR_CLIENT,
    /** Responses that a backend has not sent completely. Their attempts fail. */
    WAITING_FOR_BACKEND
}
