package gaugegw.proxy.testing;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A backend or discovery server under the control of a test, which accepts its connections and writes its responses.
 */
public final class ScriptedServer implements Closeable {
    private final ServerSocket server;
    private final List<RawConnection> open = new ArrayList<>();

    public ScriptedServer() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(10_000);
    }

    /** Returns the address as an endpoint list has it. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Waits for a connection and accepts it; it is closed with the server. */
    public RawConnection accept() throws IOException {
        var connection = new RawConnection(server.accept());
        synchronized (open) {
            open.add(connection);
        }
        return connection;
    }

    /** Has a client send a request; returns the new connection, on which the complete request has been read. */
    public RawConnection sendAndAcceptAttempt(RawConnection client, String requestId) throws IOException {
        client.send(ProxyFixture.get(requestId));
        RawConnection attempt = accept();
        attempt.read();
        return attempt;
    }

    /**
     * Responds to every request in the same way from now on, on threads of its own; returns the queue of the requests.
     */
    public BlockingQueue<RawConnection.Message> respondToAll(String response) {
        var received = new LinkedBlockingQueue<RawConnection.Message>();
        runInBackground(() -> {
            while (true) {
                accept().respondToAll(response, received);
            }
        });
        return received;
    }

    /** Formats a 200 response. */
    public static String ok(String body) {
        return response("200 OK", body);
    }

    /** Formats a response with a content length. */
    public static String response(String status, String body, String... headers) {
        return "HTTP/1.1 " + status + "\r\n" + (headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Waits for the next element of a queue. */
    public static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(10, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("timed out: nothing in the queue");
        }
        return next;
    }

    /** Polls a condition until it holds: for state that no event reports. */
    public static void await(BooleanSupplier condition) throws InterruptedException {
        long startNs = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - startNs > 10_000_000_000L) {
                throw new AssertionError("timed out: the condition does not hold");
            }
            Thread.sleep(1);
        }
    }

    /** Blocks the calling thread, in tests the proxy's event loop, until a latch is released. */
    public static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Work on a socket that may be closed meanwhile. */
    public interface SocketTask {
        void run() throws IOException;
    }

    /** Runs work on a daemon thread; it ends when its socket is closed. */
    public static void runInBackground(SocketTask work) {
        var thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The test has ended or the other side has disconnected: there is nothing more to respond to.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    public int port() {
        return ((InetSocketAddress) server.getLocalSocketAddress()).getPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
        synchronized (open) {
            for (RawConnection connection : open) {
                connection.close();
            }
        }
    }
}
