package gaugegw.proxy.transport;

/**
 * How the file descriptors that a process may hold are divided.
 *
 * @param maxConnections connections of clients and to backends together beyond which accepting is paused
 * @param maxClients the part of these that clients may have
 * @param maxOpen connections that may be open at any moment, those accepted in one turn of the loop included
 */
public record DescriptorBudget(int maxConnections, int maxClients, int maxOpen) {
    /**
     * What an idle process holds (see {@code /proc/PID/fd}): three standard streams, the runtime's module file and the
     * jar, two sources of random numbers, the selector's epoll and event descriptors, the listener, and at times one
     * more socket. The others are for files that are open for a moment: the configuration, the class archive at the
     * start, and what the runtime loads late.
     */
    private static final int RUNTIME_DESCRIPTORS = 16;

    /**
     * Calls to discovery: the watch, a call that it has replaced and that the selector has not yet released, and the
     * same for a fetch of the complete list. They are not counted, so that no number of clients can block them.
     */
    private static final int DISCOVERY_DESCRIPTORS = 4;

    /**
     * What the environment may hold in the process: inherited descriptors and those of a preloaded library; and the one
     * connection that may still be accepted in the turn of the loop in which accepting is paused.
     */
    private static final int ENVIRONMENT_DESCRIPTORS = 8;

    /** Divides a limit, which the configuration states as {@code limits.sockets}. */
    public static DescriptorBudget of(int descriptorLimit) {
        int maxOpen = descriptorLimit - RUNTIME_DESCRIPTORS - DISCOVERY_DESCRIPTORS - ENVIRONMENT_DESCRIPTORS;
        int maxConnections = maxOpen - SocketTransport.MAX_ACCEPTS_PER_TURN;
        // A request needs a connection on either side: clients alone must not use up what their requests need.
        int maxClients = maxConnections * 5 / 8;
        return new DescriptorBudget(maxConnections, maxClients, maxOpen);
    }
}
