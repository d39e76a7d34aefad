package gaugegw.proxy.lifecycle;

import gaugegw.proxy.config.InvalidConfigException;
import gaugegw.proxy.config.ProxyConfig;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The command {@code load-classes}: loads the classes that {@code serve} needs, and ends. The Java runtime writes them
 * to an archive, from which later starts load them faster. A class that only {@code serve} uses, and that is not loaded
 * here, slows each start.
 */
public final class LoadClassesCommand {
    /** Time limit of the warm-up, in milliseconds; this process has no time by which to be ready. */
    private static final long WARMUP_LIMIT_MS = 60_000;

    private LoadClassesCommand() {}

    /** Loads the classes; the process ends with {@link ExitStatus#INVALID_CONFIG} where there is no configuration. */
    public static void run() {
        try {
            ProxyConfig config = ProxyConfig.read(ServeCommand.configFile());
            Warmup.run(config, WARMUP_LIMIT_MS);
            SignalHandlers.install(SignalHandlers.RELOAD, () -> {});
            listenAndStop(config);
        } catch (InvalidConfigException e) {
            ServeCommand.exit(e);
        }
    }

    /** Loads what sockets need: the warm-up has none. The port is a free one, as the configured one may be in use. */
    private static void listenAndStop(ProxyConfig config) {
        var freePort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        var server = new ProxyServer(config.withListenAddress(freePort));
        server.listen().awaitUninterruptibly();
        server.stop();
    }
}
