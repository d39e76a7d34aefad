package gaugegw.proxy.client;

/** The time limits of a client's connection. All times are in microseconds. Stateless. */
final class ClientTimeLimits {
    /**
     * Time after which a connection without a request is closed. Clients may rely on an idle connection staying open
     * for 2 s.
     */
    private static final long IDLE_TIMEOUT_US = 2_200_000;
    /**
     * Time within which a request must be received completely. It starts with the first byte of the request or, until
     * the connection's first response, with the connect. A client that sends no valid request must get an error or a
     * close within 3 s.
     */
    private static final long REQUEST_TIMEOUT_US = 2_200_000;
    /**
     * Time from the end of an exchange after which the connection is closed if responses are still waiting to be
     * written to the socket. The client has then stopped reading and is assumed to be gone.
     */
    private static final long WRITE_TIMEOUT_US = 10_000_000;
    /** Maximum time from the shutdown of the proxy's output to the close of the connection. */
    private static final long LINGER_TIMEOUT_US = 1_000_000;
    /**
     * Maximum time for which a graceful shutdown waits for a lingering connection. It is one round trip, with the 50 ms
     * in each direction that the protocol allows on every time limit: a client that reads its last response at once has
     * closed the connection by then.
     */
    private static final long SHUTDOWN_LINGER_TIMEOUT_US = 100_000;

    private ClientTimeLimits() {}

    /** Returns whether a connection must be closed that has had no request for a given time. */
    static boolean isIdleExceeded(long idleUs, boolean hasUnwrittenData) {
        return idleUs > (hasUnwrittenData ? WRITE_TIMEOUT_US : IDLE_TIMEOUT_US);
    }

    /** Returns whether a request must be rejected that has been incomplete for a given time. */
    static boolean isRequestExceeded(long incompleteUs) {
        return incompleteUs > REQUEST_TIMEOUT_US;
    }

    /** Returns whether a connection must be closed that has lingered for a given time. */
    static boolean isLingerExceeded(long lingeringUs) {
        return lingeringUs > LINGER_TIMEOUT_US;
    }

    /** Returns whether a graceful shutdown no longer waits for a connection that has lingered for a given time. */
    static boolean isShutdownLingerExceeded(long lingeringUs) {
        return lingeringUs > SHUTDOWN_LINGER_TIMEOUT_US;
    }
}
