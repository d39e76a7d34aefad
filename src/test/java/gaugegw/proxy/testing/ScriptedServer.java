package gaugegw.proxy.testing;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A backend or discovery server that a test controls: the test accepts the connections and writes the responses.
 */
public final class ScriptedServer implements Closeable {
    private final ServerSocket server;
    private final List<RawConnection> open = new ArrayList<>();

    public ScriptedServer() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(10_000);
    }

    /** Returns the address in the format of an endpoint list. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Waits for a connection and accepts it. It is closed when the server is closed. */
    public RawConnection accept() throws IOException {
        var connection = new RawConnection(server.accept());
        synchronized (open) {
            open.add(connection);
        }
        return connection;
    }

    /**
     * Sends a request from a client and accepts the attempt that it causes. Returns the connection of the attempt, from
     * which the complete request has been read.
     */
    public RawConnection sendAndAcceptAttempt(RawConnection client, String requestId) throws IOException {
        client.send(ProxyFixture.get(requestId));
        RawConnection attempt = accept();
        attempt.read();
        return attempt;
    }

    /**
     * Sends the same response to all further requests, on all connections that are accepted from now on, on background
     * threads. Returns a queue that receives the requests.
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

    /** What a server does with a connection, on a thread of its own. */
    public interface ConnectionHandler {
        void handle(RawConnection connection) throws IOException;
    }

    /** Accepts all connections until the server is closed, on a background thread, and has each handled on another. */
    public void acceptAll(ConnectionHandler handler) {
        runInBackground(() -> {
            while (!server.isClosed()) {
                try {
                    RawConnection connection = accept();
                    runInBackground(() -> handler.handle(connection));
                } catch (SocketTimeoutException e) {
                    // No connection came within the timeout; wait for the next one.
                }
            }
        });
    }

    /** Returns the text of a response with status 200. */
    public static String ok(String body) {
        return response("200 OK", body);
    }

    /** Returns the text of a response with a content length. */
    public static String response(String status, String body, String... headers) {
        return "HTTP/1.1 " + status + "\r\n" + (headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Waits for the next element of a queue and removes it. */
    public static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(10, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no element was added to the queue within 10 s");
        }
        return next;
    }

    /** Polls a condition until it is true, for at most 10 s; for changes of state that no event reports. */
    public static void await(BooleanSupplier condition) throws InterruptedException {
        long startedAtNs = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - startedAtNs > 10_000_000_000L) {
                throw new AssertionError("the condition was still false after 10 s");
            }
            Thread.sleep(1);
        }
    }

    /** Blocks the calling thread, without a time limit, until a latch is released; used to block the event loop. */
    public static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A task that uses a socket, which may be closed while the task runs. */
    public interface SocketTask {
        void run() throws IOException;
    }

    /** Runs a task on a daemon thread. An {@link IOException}, as when its socket is closed, ends the task. */
    public static void runInBackground(SocketTask task) {
        var thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The test has ended or the peer has disconnected, so the task has nothing more to do.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port on which the server listens. */
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
