import java.io.IOException;
import java.net.SocketTimeoutException;

/**
 * Sound clients send a body in many small chunks, while bad clients send bodies in chunks of one byte, stop in the
 * middle and stay.
 */
public final class Case8 {
    private static final int BAD_CLIENTS = 50;
    private static final int REQUESTS = 12;
    private static final int BODY_BYTES = 60_000;
    private static final int CHUNK_BYTES = 100;
    private static final int TIMEOUT_MS = 1_200;
    /** An answer that comes later than this after the last byte of the request is lost. */
    private static final int LOST_AFTER_MS = TIMEOUT_MS + 500 + 50;

    public static void main(String[] args) throws Exception {
        Lab.run(args, Case8::play);
    }

    private static void play(Lab lab) throws Exception {
        var discovery = lab.new Discovery();
        for (int i = 1; i <= 3; i++) {
            discovery.put(lab.new Backend("s-" + i), "ready");
        }
        int port = Lab.freePort();
        var proxy = lab.new Proxy(port, Lab.config(port, discovery.address(), 1, 0, "pushed", ""));
        proxy.awaitReady();
        if (lab.trouble) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Lab.background(() -> badClient(port));
            }
            lab.log("%d bad clients from now on", BAD_CLIENTS);
        }
        Lab.sleep(1_500);
        int lost = 0;
        int served = 0;
        int other = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            try (var connection = Lab.Connection.to(port)) {
                connection.socket.setSoTimeout(15_000);
                connection.send(Lab.postHead(id, "subir", "a" + i, TIMEOUT_MS) + "Transfer-Encoding: chunked\r\n\r\n"
                        + chunks());
                double sentAtMs = lab.ms();
                String what = answer(connection);
                double tookMs = lab.ms() - sentAtMs;
                if (what == null) {
                    lab.log("%s was closed with no answer after %.0f ms; not counted", id, tookMs);
                    continue;
                }
                boolean late = what.equals("nothing") || tookMs > LOST_AFTER_MS;
                lost += late ? 1 : 0;
                served += !late && what.contains(" 200 ") ? 1 : 0;
                other += !late && !what.contains(" 200 ") ? 1 : 0;
                lab.log("%s%s was answered by %s, %.0f ms after its last byte", late ? "LOST: " : "", id, what, tookMs);
            }
        }
        lab.finish(
                lost > 0 ? 1 : 0,
                "of %d requests %d got no answer within %d ms of their last byte, %d were served, %d refused or failed",
                REQUESTS,
                lost,
                LOST_AFTER_MS,
                served,
                other);
    }

    /** Returns the status line of the answer, "nothing" if none has come, or null if the proxy has closed. */
    private static String answer(Lab.Connection connection) {
        try {
            Lab.Message answer = connection.read();
            return answer == null ? null : answer.firstLine();
        } catch (SocketTimeoutException e) {
            return "nothing";
        } catch (IOException e) {
            return null;
        }
    }

    private static String chunks() {
        String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "b".repeat(CHUNK_BYTES) + "\r\n";
        return chunk.repeat(BODY_BYTES / CHUNK_BYTES) + "0\r\n\r\n";
    }

    /** Sends a request without an id and without its end, and stays until the proxy answers or closes. */
    private static void badClient(int port) throws IOException {
        String request = "POST /api?k=a HTTP/1.1\r\nHost: service.internal\r\nX-Priority-Class: subir\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(BODY_BYTES);
        while (true) {
            try (var connection = Lab.Connection.to(port)) {
                connection.send(request);
                connection.read();
            } catch (IOException e) {
                // The proxy has closed the connection while the request was being sent.
            }
        }
    }
}
