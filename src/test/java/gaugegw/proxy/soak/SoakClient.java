package gaugegw.proxy.soak;

import gaugegw.proxy.testing.RawConnection;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * A proper client: sends one request at a time and keeps its connection for as long as the proxy leaves it open. It
 * opens another one while the proxy accepts connections. Runs on a thread of its own.
 */
final class SoakClient implements Runnable {
    private static final long SHORT_DEADLINE_MS = 300;
    /** How long after the latest time for a response the client gives it up as lost. */
    private static final int GIVE_UP_MS = 700;

    private static final int MAX_PAUSE_MS = 60;
    private static final String BODY = "b".repeat(2_000);

    private final SoakScenario scenario;
    private final SoakLedger ledger;
    private final int port;
    private final String name;
    private final BooleanSupplier mayConnect;
    private final BooleanSupplier mayStartRequest;
    private final Random random;
    private RawConnection connection;
    private int requestsOnConnection;
    private int requests;

    SoakClient(
            SoakScenario scenario,
            SoakLedger ledger,
            int port,
            int number,
            BooleanSupplier mayConnect,
            BooleanSupplier mayStartRequest) {
        this.scenario = scenario;
        this.ledger = ledger;
        this.port = port;
        this.name = "c" + number;
        this.mayConnect = mayConnect;
        this.mayStartRequest = mayStartRequest;
        this.random = new Random(scenario.seed() * 1_009 + number);
    }

    @Override
    public void run() {
        try {
            while (mayStartRequest.getAsBoolean() && ensureConnected()) {
                request(name + "-" + requests++);
                Thread.sleep(random.nextInt(MAX_PAUSE_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    private boolean ensureConnected() {
        if (connection != null) {
            return true;
        }
        if (!mayConnect.getAsBoolean()) {
            return false;
        }
        try {
            connection = RawConnection.connectTo(port);
            requestsOnConnection = 0;
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void request(String id) {
        boolean mayRepeat = random.nextInt(2) == 0;
        long waitMs = mayRepeat ? SHORT_DEADLINE_MS : scenario.longestDeadlineMs();
        String request = text(id, mayRepeat, waitMs);
        boolean first = requestsOnConnection++ == 0;
        ledger.sent(id, mayRepeat, waitMs);
        try {
            connection.send(request);
            ledger.lastByteWritten(id);
            if (random.nextDouble() < scenario.leavingShare()) {
                leave(id, waitMs);
                return;
            }
            receive(id, waitMs, first);
        } catch (SocketTimeoutException e) {
            ledger.violation(
                    "lost: " + id + " got no answer " + GIVE_UP_MS + " ms after its time of " + waitMs + " ms");
            disconnect();
        } catch (IOException e) {
            ended(id, first, e.getMessage());
        }
    }

    private void receive(String id, long waitMs, boolean first) throws IOException {
        connection.socket.setSoTimeout((int) waitMs + GIVE_UP_MS);
        RawConnection.Message response = connection.read();
        if (response == null) {
            ended(id, first, "closed");
            return;
        }
        ledger.answered(id, response.status());
        if (response.status() == 200 && !response.body().startsWith(id)) {
            ledger.violation("foreign: " + id + " got the response " + response.body());
        }
        if ("close".equalsIgnoreCase(response.header("Connection"))) {
            disconnect();
        }
    }

    private void ended(String id, boolean first, String how) {
        disconnect();
        if (ledger.ended(id, first, how) && ensureConnected()) {
            request(id + "-again");
        }
    }

    private void leave(String id, long waitMs) {
        try {
            Thread.sleep(random.nextInt((int) waitMs / 2));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        disconnect();
        ledger.clientLeft(id);
    }

    private void disconnect() {
        if (connection == null) {
            return;
        }
        try {
            connection.close();
        } catch (IOException e) {
            // The connection has ended already.
        }
        connection = null;
    }

    private static String text(String id, boolean mayRepeat, long waitMs) {
        String head = (mayRepeat ? "GET" : "POST") + " /api?k=u1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: "
                + id
                + "\r\nX-Priority-Class: " + (mayRepeat ? "read" : "vote") + "\r\nX-Tenant-Id: acme\r\nX-Timeout: "
                + waitMs + "m\r\n";
        return mayRepeat ? head + "\r\n" : head + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    }
}
