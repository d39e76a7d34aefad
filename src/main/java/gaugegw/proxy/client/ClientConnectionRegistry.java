package gaugegw.proxy.client;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The connections of clients that are not closed yet. Used on the event loop only. */
final class ClientConnectionRegistry {
    /** Those on which a client may still send a request, wait for a response or read one. */
    private final Set<ClientConnection> active = new HashSet<>();
    /** Those closed for sending whose client has not closed in the time that it needs for that. */
    private final Set<ClientConnection> lingering = new HashSet<>();

    void add(ClientConnection connection) {
        active.add(connection);
    }

    void remove(ClientConnection connection) {
        active.remove(connection);
        lingering.remove(connection);
    }

    /** A graceful shutdown does not wait for this connection any longer; it still expires. */
    void stopAwaiting(ClientConnection connection) {
        if (active.remove(connection)) {
            lingering.add(connection);
        }
    }

    /** Returns the number of connections that a graceful shutdown waits for. */
    int activeCount() {
        return active.size();
    }

    /** Applies the time limits of all connections. */
    void expire(long nowUs) {
        // Copies, as a connection may be moved or removed meanwhile.
        List.copyOf(lingering).forEach(connection -> connection.expire(nowUs));
        List.copyOf(active).forEach(connection -> connection.expire(nowUs));
    }

    void closeIdle() {
        List.copyOf(active).forEach(ClientConnection::closeIfIdle);
    }
}
