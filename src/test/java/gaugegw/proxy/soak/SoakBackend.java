package gaugegw.proxy.soak;

import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.Closeable;
import java.io.IOException;
import java.util.Random;
import java.util.function.BooleanSupplier;

/** A backend that takes a random time for each request, and hangs or rejects some of them during the faults. */
final class SoakBackend implements Closeable {
    private static final double MEAN_WORK_MS = 12;
    private static final double LONG_WORK_SHARE = 0.03;
    private static final int LONG_WORK_MS = 400;
    private static final int MAX_BODY_BYTES = 50_000;

    private final ScriptedServer server = new ScriptedServer();
    private final SoakLedger ledger;
    private final SoakScenario scenario;
    private final BooleanSupplier faultsActive;
    private final Random random;

    SoakBackend(SoakLedger ledger, SoakScenario scenario, BooleanSupplier faultsActive, int number) throws IOException {
        this.ledger = ledger;
        this.scenario = scenario;
        this.faultsActive = faultsActive;
        this.random = new Random(scenario.seed() * 31 + number);
        server.acceptAll(this::serve);
    }

    String address() {
        return server.address();
    }

    private void serve(RawConnection connection) throws IOException {
        connection.socket.setSoTimeout(0);
        for (RawConnection.Message request = connection.read(); request != null; request = connection.read()) {
            String response = handle(request);
            if (response == null) {
                // Hangs: reads on until the proxy gives up the attempt.
                connection.awaitClose();
                return;
            }
            connection.send(response);
        }
    }

    /** Returns the response to a request, after the time for its work; null if there is none. */
    private String handle(RawConnection.Message request) throws IOException {
        double draw;
        double work;
        synchronized (random) {
            draw = random.nextDouble();
            boolean isLong = random.nextDouble() < LONG_WORK_SHARE;
            work = isLong ? random.nextInt(LONG_WORK_MS) : -MEAN_WORK_MS * Math.log(1 - random.nextDouble());
        }
        boolean faulty = faultsActive.getAsBoolean();
        boolean rejects = faulty && draw < scenario.rejectedShare();
        boolean hangs = faulty && draw > 1 - scenario.hangingShare();
        String id = request.header("X-Request-ID");
        ledger.attempted(id, !rejects, toldMs(request));
        if (rejects) {
            return ScriptedServer.response("503 Service Unavailable", "full", "X-Not-Processed: 1");
        }
        if (hangs) {
            return null;
        }
        sleep((long) work);
        return ScriptedServer.ok(id + "x".repeat(id.hashCode() % 10 == 0 ? MAX_BODY_BYTES : 0));
    }

    private static long toldMs(RawConnection.Message request) {
        String told = request.header("X-Timeout");
        return Long.parseLong(told.substring(0, told.length() - 1)) / 1_000;
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
