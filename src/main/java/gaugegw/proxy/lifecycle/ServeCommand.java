package gaugegw.proxy.lifecycle;

import gaugegw.proxy.config.ConfigFileWatcher;
import gaugegw.proxy.config.InvalidConfigException;
import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.discovery.EndpointWatcher;
import java.nio.file.Path;

/**
 * The command {@code serve}: runs one proxy until the process is terminated. SIGHUP reloads the configuration; SIGTERM
 * drains the proxy and ends the process.
 */
public final class ServeCommand {
    /** Maximum time from the start of the process until the proxy is ready, in milliseconds. */
    static final long READY_WITHIN_MS = 6_000;

    /** Time that the Java runtime needs to start on a fraction of a CPU core, in milliseconds. */
    static final long RUNTIME_START_MS = 500;

    /**
     * Time limit of the warm-up at a first start, in milliseconds: what the other steps of a start leave of the time
     * until the proxy must be ready. No client is accepted before the warm-up has ended. A restart with an endpoint
     * list that has never changed looks like a first start and runs the warm-up too; without the limit, the proxy would
     * not be ready in time.
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
     * Starts a proxy and returns once it serves; the event loop keeps the process alive. The process ends after
     * SIGTERM, or with {@link ExitStatus#INVALID_CONFIG} if the proxy can't start.
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
            reportAndExit(e);
        }
    }

    /** Returns the path of the configuration file, which an environment variable sets. */
    static Path configFile() throws InvalidConfigException {
        String file = System.getenv(CONFIG_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw InvalidConfigException.variableNotSet(CONFIG_VARIABLE);
        }
        return Path.of(file);
    }

    /** Reports an invalid configuration and ends the process without a drain, because no clients are connected. */
    static void reportAndExit(InvalidConfigException reason) {
        System.err.println("invalid configuration, exiting: " + reason.getMessage());
        Runtime.getRuntime().halt(ExitStatus.INVALID_CONFIG);
    }

    /**
     * Ends the process without a drain, which would need the event loop. Its platform then restarts it; a process
     * without an event loop would accept connections and never respond.
     */
    private static void reportEndAndExit() {
        System.err.println("the event loop has ended unexpectedly, exiting with status " + ExitStatus.EVENT_LOOP_ENDED
                + " because no request can be served without it");
        Runtime.getRuntime().halt(ExitStatus.EVENT_LOOP_ENDED);
    }

    private void serve() throws InvalidConfigException {
        // The handlers are installed before the proxy listens: without them either signal would end the process, and
        // the requests in flight would be lost.
        Runtime.getRuntime().addShutdownHook(new Thread(this::drainAndHalt, "drain"));
        server.onUnexpectedEnd(ServeCommand::reportEndAndExit);
        installTerminationHandler();
        installReloadTrigger();
        server.start();
    }

    /**
     * The shutdown hook: drains the proxy, then halts the process without waiting for other shutdown hooks or for
     * finalization.
     */
    private void drainAndHalt() {
        server.drain();
        Runtime.getRuntime().halt(ExitStatus.SUCCESS);
    }

    /**
     * Installs a handler for SIGTERM, which does the same as the Java runtime's own handler. The attempt shows whether
     * the signal was already ignored at the start, which is logged.
     */
    private void installTerminationHandler() {
        if (!SignalHandlers.install(SignalHandlers.TERMINATE, () -> System.exit(ExitStatus.SUCCESS))) {
            server.logWithName(
                    "SIGTERM was already ignored when this process started: it will neither drain the proxy nor end"
                            + " the process; SIGKILL ends the process without a drain");
        }
    }

    /**
     * Reloads the configuration at each SIGHUP. Only if SIGHUP was already ignored at the start, polls the file instead
     * and reloads it when its contents change.
     */
    private void installReloadTrigger() {
        if (SignalHandlers.install(SignalHandlers.RELOAD, () -> server.reload(configFile))) {
            return;
        }
        server.logWithName("SIGHUP was already ignored when this process started: polling " + configFile + " every "
                + ConfigFileWatcher.POLL_INTERVAL_MS + " ms for a new configuration");
        new ConfigFileWatcher(configFile, config, new ReloadListener()).start();
    }

    /** Passes the changes that the file watcher finds to the proxy. */
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
