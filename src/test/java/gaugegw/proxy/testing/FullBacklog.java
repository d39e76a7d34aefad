package gaugegw.proxy.testing;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A listener that accepts nothing, and whose queue is full: whoever connects to it waits. */
public final class FullBacklog implements Closeable {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> crowd = new ArrayList<>();

    public FullBacklog() throws IOException {
        while (true) {
            var socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), 100);
                crowd.add(socket);
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
                return;
            }
        }
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Makes room, and returns the connection of whoever has waited: it comes up as its SYN is sent again. */
    public RawConnection admit() throws IOException {
        server.setSoTimeout(10_000);
        for (int i = 0; i < crowd.size(); i++) {
            server.accept().close();
        }
        return new RawConnection(server.accept());
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : crowd) {
            socket.close();
        }
        server.close();
    }
}
