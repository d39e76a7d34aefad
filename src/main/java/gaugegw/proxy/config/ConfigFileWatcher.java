package gaugegw.proxy.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Polls the configuration file for replacement, for a process that can't receive the signal to reload it. While the
 * file is missing or invalid, the last valid configuration stays in force and the file is read again at each poll.
 *
 * <p>One thread polls, and calls the listener.
 */
public final class ConfigFileWatcher {
    /**
     * Time between two polls, in milliseconds. The old discovery address closes its connections 1.5 s after a
     * replacement, and 4 s after it a change of the endpoint list binds the proxy: it is to be found well before either.
     */
    public static final long POLL_INTERVAL_MS = 200;

    /** Is called on the thread that polls. */
    public interface Listener {
        /** The file holds another configuration than the one in force. */
        void configChanged(ProxyConfig config);

        /** The file's state can't be used; called once for each state. */
        void configRejected(Exception reason);
    }

    private final Path file;
    private final Listener listener;
    private ProxyConfig current;
    private FileState lastValid = FileState.NONE;
    /** The state that was valid at two polls: it is not read again. */
    private FileState confirmed = FileState.NONE;

    private FileState lastRejected = FileState.NONE;

    /**
     * Creates a watcher; nothing is polled yet.
     *
     * @param current the configuration in force: whatever else the file holds is a change, also one that came between
     *     the reading of {@code current} and the first poll
     */
    public ConfigFileWatcher(Path file, ProxyConfig current, Listener listener) {
        this.file = file;
        this.current = current;
        this.listener = listener;
    }

    /** Polls from now on, on a daemon thread of its own, as long as the process runs. */
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
     * Reads the file if its state has changed. Each valid state is read at two polls: a write within one tick of the
     * file system's clock can leave the state as it was at the first.
     */
    void poll() {
        // Before the contents: a replacement in between then shows at the next poll.
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
     * What tells a replaced file from the one before.
     *
     * @param key the file's identity, such as its inode
     * @param sizeBytes -1 for a state that is no file's
     */
    private record FileState(Object key, FileTime modified, long sizeBytes) {
        /** Equals the state of no file, nor that of a missing one. */
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
