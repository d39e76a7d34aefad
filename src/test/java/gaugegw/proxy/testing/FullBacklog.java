package gaugegw.proxy.testing;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket that accepts no connection and whose backlog is full: a connect to it neither succeeds nor fails.
 */
public final class FullBacklog implements Closeable {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> backlogConnections = new ArrayList<>();

    /** Fills the backlog: opens connections until a connect no longer completes. */
    public FullBacklog() throws IOException {
        while (true) {
            var socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), 100);
                backlogConnections.add(socket);
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
                return;
            }
        }
    }

    /** Returns the address in the format of an endpoint list. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /**
     * Empties the backlog, then accepts and returns the connection of the client whose connect was waiting: that
     * client's kernel repeats the SYN until it is answered.
     */
    public RawConnection acceptWaitingClient() throws IOException {
        server.setSoTimeout(10_000);
        for (int i = 0; i < backlogConnections.size(); i++) {
            server.accept().close();
        }
        return new RawConnection(server.accept());
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : backlogConnections) {
            socket.close();
        }
        server.close();
    }
}
