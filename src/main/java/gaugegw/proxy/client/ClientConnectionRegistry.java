package gaugegw.proxy.client;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** All open connections of clients. Used on the event loop only. */
final class ClientConnectionRegistry {
    /**
     * The connections that a graceful shutdown waits for: a client may still send a request on them, wait for a
     * response or read one.
     */
    private final Set<ClientConnection> awaited = new HashSet<>();
    /** The connections that have lingered too long for a graceful shutdown to wait for them. */
    private final Set<ClientConnection> noLongerAwaited = new HashSet<>();

    void add(ClientConnection connection) {
        awaited.add(connection);
    }

    void remove(ClientConnection connection) {
        awaited.remove(connection);
        noLongerAwaited.remove(connection);
    }

    /** Makes a graceful shutdown stop waiting for a connection; its time limits still apply. */
    void stopAwaiting(ClientConnection connection) {
        if (awaited.remove(connection)) {
            noLongerAwaited.add(connection);
        }
    }

    /** Returns the number of connections that a graceful shutdown waits for. */
    int awaitedCount() {
        return awaited.size();
    }

    /** Enforces the time limits of all connections. */
    void enforceTimeLimits(long nowUs) {
        // Iterates over copies, as connections may be moved or removed meanwhile.
        List.copyOf(noLongerAwaited).forEach(connection -> enforceTimeLimits(connection, nowUs));
        List.copyOf(awaited).forEach(connection -> enforceTimeLimits(connection, nowUs));
    }

    /** Closes the connection if its time limits can't be enforced, so that those of the others still are. */
    private static void enforceTimeLimits(ClientConnection connection, long nowUs) {
        try {
            connection.enforceTimeLimits(nowUs);
        } catch (RuntimeException | Error e) {
            connection.closeAfterFailure(e);
        }
    }

    /** Closes the connections that have no exchange and no incomplete request. */
    void closeIdle() {
        List.copyOf(awaited).forEach(ClientConnection::closeIfIdle);
    }
}
