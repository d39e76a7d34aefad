package gaugegw.proxy.transport;

/**
 * How the descriptors that a process may hold are shared out.
 *
 * @param connections connections that clients and backends hold together before accepting is paused
 * @param clients the clients' part of these
 * @param most connections that may ever be open at once, those accepted in a single turn of the loop included
 */
public record DescriptorBudget(int connections, int clients, int most) {
    /**
     * What an idle process holds, ten or eleven as measured from {@code /proc/PID/fd}: three standard streams, the
     * runtime's module file and the jar, two sources of random numbers, the selector's epoll and event descriptors, the
     * listener, and in some runs one more socket. The others are for files that are open for a moment: the
     * configuration, the class archive at the start, and what the runtime loads late.
     */
    private static final int RUNTIME = 16;

    /**
     * Calls to discovery: the watch, a call that it has replaced and that the selector has not yet released, and the
     * same for a fetch of the whole list. They are not counted, so that no crowd of clients can keep them from opening.
     */
    private static final int DISCOVERY = 4;

    /**
     * What the environment may hold in the process: inherited descriptors and those of a preloaded library; and the one
     * connection that may still be accepted in the turn of the loop in which accepting is paused.
     */
    private static final int ENVIRONMENT = 8;

    /** Shares out a limit, which the configuration states as {@code limits.sockets}. */
    public static DescriptorBudget of(int limit) {
        int most = limit - RUNTIME - DISCOVERY - ENVIRONMENT;
        int connections = most - Transport.ACCEPTED_AT_ONCE;
        // A request needs a connection on either side: clients alone can't use up what their requests need.
        return new DescriptorBudget(connections, connections * 5 / 8, most);
    }
}
