package gaugegw.proxy.client;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** All open connections of clients. Used on the event loop only. */
final class ClientConnectionRegistry {
    /** The connections on which a client may still send a request, wait for a response or read one. */
    private final Set<ClientConnection> active = new HashSet<>();
    /**
     * The connections whose output the proxy has shut down and that the client has not closed in the time that it needs
     * for that.
     */
    private final Set<ClientConnection> lingering = new HashSet<>();

    void add(ClientConnection connection) {
        active.add(connection);
    }

    void remove(ClientConnection connection) {
        active.remove(connection);
        lingering.remove(connection);
    }

    /** Makes a graceful shutdown stop waiting for a connection; its time limits still apply. */
    void stopAwaiting(ClientConnection connection) {
        if (active.remove(connection)) {
            lingering.add(connection);
        }
    }

    /** Returns the number of connections that a graceful shutdown waits for. */
    int activeCount() {
        return active.size();
    }

    /** Enforces the time limits of all connections. */
    void enforceTimeLimits(long nowUs) {
        // Iterates over copies, as connections may be moved or removed meanwhile.
        List.copyOf(lingering).forEach(connection -> connection.enforceTimeLimits(nowUs));
        List.copyOf(active).forEach(connection -> connection.enforceTimeLimits(nowUs));
    }

    void closeIdle() {
        List.copyOf(active).forEach(ClientConnection::closeIfIdle);
    }
}
