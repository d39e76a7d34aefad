package gaugegw.proxy.testing;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A {@link ProxyProcess} that is ready, with its one backend and discovery. The time limits of the settings are long. */
public final class ReadyProxyProcess implements Closeable {
    /** The backend; the test determines its responses. */
    public final ScriptedServer backend = new ScriptedServer();
    /** The proxy. */
    public final ProxyProcess process;
    /** The port on which the proxy listens. */
    public final int port;

    private final ScriptedServer discovery = new ScriptedServer();

    /**
     * Starts the servers, and waits until the proxy is ready.
     *
     * @param folder where the configuration is written
     * @param shellPrefix shell commands that run before the program; see {@link ProxyProcess#start(Path, String)}
     */
    public ReadyProxyProcess(Path folder, String shellPrefix) throws IOException, InterruptedException {
        String config = ProxyFixture.LONG_TIMEOUTS.apply(ProxyFixture.configText(discovery.address()));
        process = ProxyProcess.start(Files.writeString(folder.resolve("config.json"), config), shellPrefix);
        discovery.respondToAll(ScriptedServer.ok(
                ProxyFixture.endpointListJson(42, true, ProxyFixture.endpointJson("s0", backend.address(), "ready"))));
        port = awaitReady();
    }

    private int awaitReady() throws IOException, InterruptedException {
        try {
            int listeningPort = process.awaitPort();
            ScriptedServer.await(() -> RawConnection.isReady(listeningPort));
            return listeningPort;
        } catch (AssertionError | InterruptedException e) {
            close();
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        process.close();
        backend.close();
        discovery.close();
    }
}
