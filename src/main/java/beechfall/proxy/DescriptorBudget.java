package beechfall.proxy;

/**
 * How the descriptors that a process may hold are shared out.
 *
 * @param connections connections that clients and backends hold together
 * @param clients the clients' part of these, beyond which accepting is paused
 */
record DescriptorBudget(int connections, int clients) {
    /** Descriptors for the runtime (ten), discovery, and connections whose close the selector is yet to see. */
    private static final int RESERVED = 32;

    /** Shares out a limit, which the configuration states as {@code limits.sockets}. */
    static DescriptorBudget of(int limit) {
        // What is accepted beyond the clients' part has descriptors of its own, so that a burst leaves the backends
        // theirs.
        int connections = limit - RESERVED - Transport.ACCEPTED_AT_ONCE;
        // A request needs a connection on either side: clients alone can't use up what their requests need.
        return new DescriptorBudget(connections, connections * 5 / 8);
    }
}
