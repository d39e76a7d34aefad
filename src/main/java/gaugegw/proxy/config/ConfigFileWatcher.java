package gaugegw.proxy.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;

/**
 * Polls the configuration file for replacement, for a process that can't receive the signal to reload it. While the
 * file is missing or invalid, the last valid configuration stays in force and the file is read again at each poll.
 */
public final class ConfigFileWatcher {
    /**
     * Time between two polls, in milliseconds. The platform closes the old discovery address 1.5 s after the signal and
     * counts news as told after 4 s: a replacement is read well inside either.
     */
    public static final long POLL_INTERVAL_MS = 200;

    private final Path file;
    private final Consumer<ProxyConfig> onChange;
    private final Consumer<Exception> onInvalid;
    private ProxyConfig current;
    private FileState lastRead;
    private FileState confirmed;
    private FileState lastInvalid;

    /**
     * Creates a watcher; nothing is polled yet.
     *
     * @param current the configuration in force: whatever else the file holds is a change, also one that came between
     *     the reading of {@code current} and the first poll
     * @param onChange receives each new valid configuration
     * @param onInvalid receives the reason why a state of the file can't be used, once for each state
     */
    public ConfigFileWatcher(
            Path file, ProxyConfig current, Consumer<ProxyConfig> onChange, Consumer<Exception> onInvalid) {
        this.file = file;
        this.current = current;
        this.onChange = onChange;
        this.onInvalid = onInvalid;
    }

    /** Polls from now on, on a thread of its own, as long as the process runs. */
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
            confirmed = state.equals(lastRead) ? state : null;
            lastRead = state;
            if (!config.equals(current)) {
                current = config;
                onChange.accept(config);
            }
        } catch (ProxyConfig.InvalidConfigException | RuntimeException e) {
            reject(state, e);
        }
    }

    private void reject(FileState state, Exception reason) {
        lastRead = null;
        if (!state.equals(lastInvalid)) {
            lastInvalid = state;
            onInvalid.accept(reason);
        }
    }

    /** What tells a replaced file from the one before: its identity (the inode), modification time and size in bytes. */
    private record FileState(Object key, FileTime modified, long size) {
        private static final FileState UNREADABLE = new FileState(null, null, -1);

        static FileState of(Path file) {
            try {
                var attributes = Files.readAttributes(file, BasicFileAttributes.class);
                return new FileState(attributes.fileKey(), attributes.lastModifiedTime(), attributes.size());
            } catch (IOException e) {
                return UNREADABLE;
            }
        }
    }
}
