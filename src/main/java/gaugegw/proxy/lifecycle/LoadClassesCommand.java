package gaugegw.proxy.lifecycle;

import gaugegw.proxy.config.InvalidConfigException;
import gaugegw.proxy.config.ProxyConfig;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The command {@code load-classes}: loads the classes that {@code serve} needs, and ends. The Java runtime writes the
 * loaded classes to a class data sharing archive, from which later starts load them faster. Each class that {@code
 * serve} needs but this command does not load slows down every start.
 */
public final class LoadClassesCommand {
    /**
     * Time limit of the warm-up, in milliseconds. It is long because no client waits for this process.
     */
    private static final long WARMUP_LIMIT_MS = 60_000;

    private LoadClassesCommand() {}

    /**
     * Loads the classes. Ends the process with {@link ExitStatus#INVALID_CONFIG} if the configuration is missing or
     * invalid.
     */
    public static void run() {
        try {
            ProxyConfig config = ProxyConfig.read(ServeCommand.configFile());
            Warmup.run(config, WARMUP_LIMIT_MS);
            SignalHandlers.install(SignalHandlers.RELOAD, () -> {});
            listenAndStop(config);
        } catch (InvalidConfigException e) {
            ServeCommand.reportAndExit(e);
        }
    }

    /**
     * Loads the classes that sockets need; the warm-up uses in-process channels only. Listens on a free port, because
     * the configured one may be in use.
     */
    private static void listenAndStop(ProxyConfig config) {
        var freePort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        var server = new ProxyServer(config.withListenAddress(freePort));
        server.listen().awaitUninterruptibly();
        server.stop();
    }
}
