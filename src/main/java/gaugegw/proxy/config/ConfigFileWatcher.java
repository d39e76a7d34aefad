package gaugegw.proxy.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Polls the configuration file for changes, in a process that can't receive SIGHUP, the signal to reload the file.
 * While the file is missing or invalid, the last valid configuration stays in use and the file is read again at each
 * poll.
 *
 * <p>A single thread polls the file and calls the listener.
 */
public final class ConfigFileWatcher {
    /**
     * Time between two polls, in milliseconds. When the file names a new discovery address, the old address closes its
     * connections after 1.5 s, and after 4 s the proxy is required to apply endpoint changes. It has to read the new
     * address well before either.
     */
    public static final long POLL_INTERVAL_MS = 200;

    /** Called on the thread that polls. */
    public interface Listener {
        /** Called when the file contains a configuration that differs from the one in use. */
        void configChanged(ProxyConfig config);

        /** Called when the file is missing or invalid, once for each such state of the file. */
        void configRejected(Exception reason);
    }

    private final Path file;
    private final Listener listener;
    private ProxyConfig current;
    private FileState lastValid = FileState.NONE;
    /** The state in which the file was valid at two polls. While it has this state, it is not read again. */
    private FileState confirmed = FileState.NONE;

    private FileState lastRejected = FileState.NONE;

    /**
     * Creates a watcher that does not poll yet.
     *
     * @param current the configuration in use. Any other contents of the file are a change, even if they were written
     *     between the reading of {@code current} and the first poll
     */
    public ConfigFileWatcher(Path file, ProxyConfig current, Listener listener) {
        this.file = file;
        this.current = current;
        this.listener = listener;
    }

    /** Starts to poll, on a daemon thread that runs as long as the process. */
    public void start() {
        var thread = new Thread(this::run, "config-file-watcher");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MS);
                poll();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Reads the file if its state has changed. A valid state is read at two polls, because a write within the same tick
     * of the file system's clock can leave the state unchanged after the first read.
     */
    void poll() {
        // Before the contents are read: if the file is replaced in between, the next poll finds another state.
        FileState state = FileState.of(file);
        if (state.equals(confirmed)) {
            return;
        }
        try {
            ProxyConfig config = ProxyConfig.read(file);
            accept(state, config);
        } catch (InvalidConfigException | RuntimeException e) {
            reject(state, e);
        }
    }

    private void accept(FileState state, ProxyConfig config) {
        confirmed = state.equals(lastValid) ? state : FileState.NONE;
        lastValid = state;
        if (!config.equals(current)) {
            current = config;
            listener.configChanged(config);
        }
    }

    private void reject(FileState state, Exception reason) {
        lastValid = FileState.NONE;
        if (!state.equals(lastRejected)) {
            lastRejected = state;
            listener.configRejected(reason);
        }
    }

    /**
     * The state of the file, by which a poll recognizes that the file has been replaced or written.
     *
     * @param key identifies the file, for example by its inode
     * @param sizeBytes the size of the file; -1 if there is no readable file
     */
    private record FileState(Object key, FileTime modified, long sizeBytes) {
        /** Stands for no state: differs from the state of every file, and from {@link #UNREADABLE}. */
        static final FileState NONE = noFile("none");

        private static final FileState UNREADABLE = noFile("unreadable");

        static FileState of(Path file) {
            try {
                var attributes = Files.readAttributes(file, BasicFileAttributes.class);
                return new FileState(attributes.fileKey(), attributes.lastModifiedTime(), attributes.size());
            } catch (IOException e) {
                return UNREADABLE;
            }
        }

        private static FileState noFile(String key) {
            return new FileState(key, FileTime.fromMillis(0), -1);
        }
    }
}
