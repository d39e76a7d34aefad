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

/** Which states of a configuration file are applied. The test itself polls the file. */
class ConfigFileWatcherTest {
    private static final String FIRST_ADDRESS = "127.0.0.1:1";
    private static final String SECOND_ADDRESS = "127.0.0.1:2";

    @TempDir
    private Path folder;

    private final List<String> applied = new ArrayList<>();
    private final List<String> rejected = new ArrayList<>();
    private Path file;
    private ConfigFileWatcher watcher;

    @BeforeEach
    void createWatcher() throws Exception {
        file = Files.writeString(folder.resolve("config.json"), ProxyFixture.configText(FIRST_ADDRESS));
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
        Files.writeString(file, ProxyFixture.configText(SECOND_ADDRESS));
        poll(3);
        assertThat(applied).containsExactly(SECOND_ADDRESS);
    }

    /**
     * The file is deleted and then written in two steps, and is polled in between. Each invalid state is rejected once,
     * the file is read again at each poll, and it is applied as soon as it is valid.
     */
    @Test
    void rereadsAnInvalidFileUntilItIsValid() throws Exception {
        String config = ProxyFixture.configText(SECOND_ADDRESS);
        Files.delete(file);
        poll(3);
        assertThat(rejected).hasSize(1);
        Files.writeString(file, config.substring(0, config.length() / 2));
        poll(3);
        assertThat(rejected).hasSize(2);
        assertThat(applied).isEmpty();
        Files.writeString(file, config);
        poll(1);
        assertThat(applied).containsExactly(SECOND_ADDRESS);
        assertThat(rejected).hasSize(2);
    }

    /**
     * The file is written twice within one tick of the file system's clock, with contents of the same size, and a poll
     * falls in between. Neither the size nor the modification time shows the second write, but the next poll has to
     * read it.
     */
    @Test
    void appliesAWriteThatLeavesSizeAndModificationTimeUnchanged() throws Exception {
        watcher.poll();
        FileTime modified = Files.getLastModifiedTime(file);
        Files.writeString(file, ProxyFixture.configText(SECOND_ADDRESS));
        Files.setLastModifiedTime(file, modified);
        watcher.poll();
        assertThat(applied).containsExactly(SECOND_ADDRESS);
    }

    private void poll(int times) {
        for (int i = 0; i < times; i++) {
            watcher.poll();
        }
    }
}
