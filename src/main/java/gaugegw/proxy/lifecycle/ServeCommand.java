package gaugegw.proxy.lifecycle;

import gaugegw.proxy.config.ConfigFileWatcher;
import gaugegw.proxy.config.InvalidConfigException;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.discovery.EndpointWatcher;
import java.nio.file.Path;

/**
 * The command {@code serve}: runs one proxy until the process is terminated. SIGHUP reloads the configuration, SIGTERM
 * drains the proxy and ends the process.
 */
public final class ServeCommand {
    /** Time from the start of a process within which it has to be ready, in milliseconds. */
    static final long READY_WITHIN_MS = 6_000;

    /** Time for the start of the Java runtime on a share of a core, in milliseconds. */
    static final long RUNTIME_START_MS = 500;

    /**
     * Time limit of the warm-up at a first start, in milliseconds. Clients are admitted only once it is over, and a
     * restart whose endpoint list has never changed looks like a first start: without the limit, such a restart
     * would not be ready in time.
     */
    static final long WARMUP_LIMIT_MS =
            READY_WITHIN_MS - RUNTIME_START_MS - EndpointWatcher.FIRST_SERVICE_CALL_TIMEOUT_MS;

    private static final String CONFIG_VARIABLE = "PROXY_CONFIG";

    private final Path configFile;
    private final ProxyConfig config;
    private final ProxyServer server;

    private ServeCommand(Path configFile, ProxyConfig config) {
        this.configFile = configFile;
        this.config = config;
        server = new ProxyServer(config);
    }

    /**
     * Starts a proxy and returns while it serves. The process ends by its signals, or with
     * {@link ExitStatus#INVALID_CONFIG} where it can't start.
     */
    public static void run() {
        try {
            Path file = configFile();
            ProxyConfig config = ProxyConfig.read(file);
            if (config.isFirstStart()) {
                Warmup.run(config, WARMUP_LIMIT_MS);
            }
            new ServeCommand(file, config).serve();
        } catch (InvalidConfigException e) {
            exit(e);
        }
    }

    /** Returns the configuration file that the environment names. */
    static Path configFile() throws InvalidConfigException {
        String file = System.getenv(CONFIG_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw InvalidConfigException.variableNotSet(CONFIG_VARIABLE);
        }
        return Path.of(file);
    }

    /** Reports a configuration that can't be used, and ends the process at once: there are no clients to drain. */
    static void exit(InvalidConfigException reason) {
        System.err.println("bad configuration: " + reason.getMessage());
        Runtime.getRuntime().halt(ExitStatus.INVALID_CONFIG);
    }

    private void serve() throws InvalidConfigException {
        // Before the proxy listens: without a handler either signal ends the process, and loses the requests in flight.
        Runtime.getRuntime().addShutdownHook(new Thread(this::drainAndHalt, "drain"));
        handleTermination();
        handleReload();
        server.start();
    }

    /** The shutdown hook: no other hook and no finalization is waited for once all requests are answered. */
    private void drainAndHalt() {
        server.drain();
        Runtime.getRuntime().halt(ExitStatus.SUCCESS);
    }

    /** The runtime's own handler does the same; installing one shows whether the signal can be received at all. */
    private void handleTermination() {
        if (!SignalHandlers.install(SignalHandlers.TERMINATE, () -> System.exit(ExitStatus.SUCCESS))) {
            server.report(
                    "SIGTERM is inherited as ignored: nothing but SIGKILL ends this process, and without a drain");
        }
    }

    /** Reloads at each signal or, where it can't be received, at each replacement of the file, but never at both. */
    private void handleReload() {
        if (SignalHandlers.install(SignalHandlers.RELOAD, () -> server.reload(configFile))) {
            return;
        }
        server.report("SIGHUP is inherited as ignored: " + configFile + " is polled every "
                + ConfigFileWatcher.POLL_INTERVAL_MS + " ms for a new configuration");
        new ConfigFileWatcher(configFile, config, new ReloadListener()).start();
    }

    /** Hands what the file's watcher finds to the proxy. */
    private final class ReloadListener implements ConfigFileWatcher.Listener {
        @Override
        public void configChanged(ProxyConfig changed) {
            server.applyConfig(changed);
        }

        @Override
        public void configRejected(Exception reason) {
            server.rejectConfig(reason);
        }
    }
}
