package gaugegw.proxy.testing;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Queue;

/**
 * One end of a TCP connection, without an HTTP library: a test sees exactly which bytes are sent and when the
 * connection is closed.
 */
public final class RawConnection implements Closeable {
    private static final int READ_TIMEOUT_MS = 10_000;

    public final Socket socket;
    private final InputStream in;

    RawConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Connects to an address. */
    public static RawConnection connectTo(InetSocketAddress address) throws IOException {
        return connectTo(address.getPort());
    }

    /** Connects to a port of the loopback address. */
    public static RawConnection connectTo(int port) throws IOException {
        return new RawConnection(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    /** Returns whether the proxy on a port of the loopback address answers that it is ready. */
    public static boolean isReady(int port) {
        try (RawConnection client = connectTo(port)) {
            Message response = client.send("GET /ready HTTP/1.1\r\n\r\n").read();
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a text, encoded as one byte per character. */
    public RawConnection send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Reads an HTTP message. Returns null if the connection is closed before its first line. */
    public Message read() throws IOException {
        String first = line();
        if (first == null) {
            return null;
        }
        var headers = new StringBuilder("\n");
        int length = 0;
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            headers.append(line).append('\n');
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException(
                    "the connection was closed after " + body.length + " of " + length + " bytes of the body");
        }
        return new Message(first, headers.toString(), new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Sends the same response to all further requests, on a background thread, and adds the requests to a queue. */
    public void respondToAll(String response, Queue<Message> received) {
        ScriptedServer.runInBackground(() -> {
            for (Message request = read(); request != null; request = read()) {
                received.add(request);
                send(response);
            }
        });
    }

    /**
     * Waits until the peer closes or resets the connection. Returns false if the peer sends a byte first, or if nothing
     * happens within the timeout.
     */
    public boolean awaitClose() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /**
     * Drops the bytes that the peer sends until it closes or resets the connection, then returns true.
     *
     * @throws java.net.SocketTimeoutException if the peer neither sends nor closes for the duration of the timeout
     */
    public boolean awaitCloseSkippingData() throws IOException {
        try {
            while (in.read() >= 0) {
                // The bytes before the close are of no interest.
            }
            return true;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    private String line() throws IOException {
        var line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /**
     * An HTTP message.
     *
     * @param firstLine the request line or status line
     * @param headers the header lines, each of them preceded by a line feed
     */
    public record Message(String firstLine, String headers, String body) {
        /** Returns the status code of a response. */
        public int status() {
            return Integer.parseInt(firstLine.split(" ", -1)[1]);
        }

        /** Returns the value of a header, whose name is case-insensitive, or null if there is none. */
        public String header(String name) {
            return Arrays.stream(headers.split("\n"))
                    .filter(l -> l.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(l -> l.substring(name.length() + 1).trim())
                    .findFirst()
                    .orElse(null);
        }
    }
}
