package gaugegw.proxy.config;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.ProxyFixture;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Which states of a configuration file are applied; the polls are the test's own. */
class ConfigFileWatcherTest {
    private static final String FIRST = "127.0.0.1:1";
    private static final String SECOND = "127.0.0.1:2";

    @TempDir
    private Path folder;

    private final List<String> applied = new ArrayList<>();
    private final List<String> rejected = new ArrayList<>();
    private Path file;
    private ConfigFileWatcher watcher;

    @BeforeEach
    void watch() throws Exception {
        file = Files.writeString(folder.resolve("config.json"), ProxyFixture.configText(FIRST));
        watcher = new ConfigFileWatcher(file, ProxyConfig.read(file), new ConfigFileWatcher.Listener() {
            @Override
            public void configChanged(ProxyConfig config) {
                applied.add("127.0.0.1:" + config.discoveryAddress().getPort());
            }

            @Override
            public void configRejected(Exception reason) {
                rejected.add(reason.getMessage());
            }
        });
    }

    @Test
    void appliesEachReplacementOnce() throws Exception {
        poll(3);
        assertThat(applied).isEmpty();
        Files.writeString(file, ProxyFixture.configText(SECOND));
        poll(3);
        assertThat(applied).containsExactly(SECOND);
    }

    /**
     * The file is deleted, then written piece by piece, and is polled meanwhile. It is rejected once for each state, is
     * read again at each poll, and is applied once it parses.
     */
    @Test
    void rereadsAnInvalidFileUntilItIsValid() throws Exception {
        String config = ProxyFixture.configText(SECOND);
        Files.delete(file);
        poll(3);
        assertThat(rejected).hasSize(1);
        Files.writeString(file, config.substring(0, config.length() / 2));
        poll(3);
        assertThat(rejected).hasSize(2);
        assertThat(applied).isEmpty();
        Files.writeString(file, config);
        poll(1);
        assertThat(applied).containsExactly(SECOND);
        assertThat(rejected).hasSize(2);
    }

    /**
     * The file is written twice within one tick of the file system's clock, with contents of the same size, and a poll
     * falls between. Neither size nor modification time show the second write; the next poll has to read it all the same.
     */
    @Test
    void appliesAWriteThatLeavesSizeAndModificationTimeUnchanged() throws Exception {
        watcher.poll();
        FileTime modified = Files.getLastModifiedTime(file);
        Files.writeString(file, ProxyFixture.configText(SECOND));
        Files.setLastModifiedTime(file, modified);
        watcher.poll();
        assertThat(applied).containsExactly(SECOND);
    }

    private void poll(int times) {
        for (int i = 0; i < times; i++) {
            watcher.poll();
        }
    }
}
