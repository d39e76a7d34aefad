package gaugegw.proxy.transport;

/**
 * The limits on the number of connections that follow from the process's limit on file descriptors.
 *
 * @param softConnectionLimit the number of client and backend connections above which no client connection is accepted
 *     and idle connections are evicted
 * @param maxClients the number of client connections above which no further one is accepted and idle ones are evicted
 * @param hardConnectionLimit the number of connections that may be open at any time, including those that are accepted
 *     in one iteration of the event loop before accepting is paused
 */
public record DescriptorBudget(int softConnectionLimit, int maxClients, int hardConnectionLimit) {
    /**
     * Descriptors for the Java runtime. An idle process has open (see {@code /proc/PID/fd}): three standard streams,
     * the runtime's module file and the jar, two sources of random numbers, the selector's epoll and event descriptors,
     * the listening socket, and at times one more socket. The remaining ones are for files that are open briefly: the
     * configuration, the class data archive at startup, and files that the runtime loads later.
     */
    private static final int RUNTIME_DESCRIPTORS = 16;

    /**
     * Descriptors for calls to discovery: the current watch, the previous one until the selector has released its
     * descriptor, and the same two for a fetch of the complete list. These calls do not count towards the limits below,
     * so that clients can't block them, however many there are.
     */
    private static final int DISCOVERY_DESCRIPTORS = 4;

    /**
     * Descriptors that the environment may open in the process, by inheritance or in a preloaded library, and one for
     * the connection that may still be accepted in the iteration of the event loop in which accepting is paused.
     */
    private static final int ENVIRONMENT_DESCRIPTORS = 8;

    /** Returns the budget for a limit on file descriptors, which the configuration states as {@code limits.sockets}. */
    public static DescriptorBudget of(int descriptorLimit) {
        int hardConnectionLimit =
                descriptorLimit - RUNTIME_DESCRIPTORS - DISCOVERY_DESCRIPTORS - ENVIRONMENT_DESCRIPTORS;
        int softConnectionLimit = hardConnectionLimit - SocketTransport.MAX_ACCEPTS_PER_ITERATION;
        // A request needs a client connection and a backend connection: client connections must leave enough
        // descriptors for those to backends.
        int maxClients = softConnectionLimit * 5 / 8;
        return new DescriptorBudget(softConnectionLimit, maxClients, hardConnectionLimit);
    }
}
