package gaugegw.proxy.testing;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A listener that accepts nothing and whose backlog is full: a connect to it neither succeeds nor fails. */
public final class FullBacklog implements Closeable {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fillers = new ArrayList<>();

    /** Connects until the kernel no longer completes a connect. */
    public FullBacklog() throws IOException {
        while (true) {
            var socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), 100);
                fillers.add(socket);
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
                return;
            }
        }
    }

    /** Returns the address as an endpoint list has it. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Empties the backlog and returns the connection of the client that was waiting: its SYN is sent again. */
    public RawConnection acceptWaitingClient() throws IOException {
        server.setSoTimeout(10_000);
        for (int i = 0; i < fillers.size(); i++) {
            server.accept().close();
        }
        return new RawConnection(server.accept());
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : fillers) {
            socket.close();
        }
        server.close();
    }
}
