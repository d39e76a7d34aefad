package gaugegw.proxy.soak;

import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.Closeable;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery with a list that never changes. It answers a call at once, or at the end of its hold. */
final class SoakDiscovery implements Closeable {
    private static final Pattern HOLD = Pattern.compile("hold_ms=(\\d+)");

    private final ScriptedServer server = new ScriptedServer();
    private final String list;
    private final BooleanSupplier silent;

    /**
     * Starts to answer calls.
     *
     * @param list the complete list as JSON text
     * @param silent returns whether calls get no answer now
     */
    SoakDiscovery(String list, BooleanSupplier silent) throws IOException {
        this.list = list;
        this.silent = silent;
        server.acceptAll(this::answer);
    }

    String address() {
        return server.address();
    }

    private void answer(RawConnection connection) throws IOException {
        connection.socket.setSoTimeout(0);
        RawConnection.Message call = connection.read();
        if (call == null) {
            return;
        }
        Matcher hold = HOLD.matcher(call.firstLine());
        int holdMs = hold.find() ? Integer.parseInt(hold.group(1)) : 0;
        if (holdMs > 0) {
            connection.socket.setSoTimeout(holdMs);
            if (connection.awaitClose()) {
                return;
            }
        }
        if (silent.getAsBoolean()) {
            connection.socket.setSoTimeout(0);
            connection.awaitClose();
            return;
        }
        connection.send(ScriptedServer.ok(list));
        connection.close();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
