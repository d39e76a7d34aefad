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

/** Which states of a configuration file are taken up; the polls are the test's own. */
class ConfigFileWatcherTest {
    private static final String FIRST = "127.0.0.1:1";
    private static final String SECOND = "127.0.0.1:2";

    @TempDir
    private Path folder;

    private final List<String> taken = new ArrayList<>();
    private final List<String> invalid = new ArrayList<>();
    private Path file;
    private ConfigFileWatcher watcher;

    @BeforeEach
    void readConfig() throws Exception {
        file = Files.writeString(folder.resolve("config.json"), ProxyFixture.config(FIRST));
        watcher = new ConfigFileWatcher(file, ProxyConfig.read(file), new ConfigFileWatcher.Listener() {
            @Override
            public void configChanged(ProxyConfig config) {
                taken.add("127.0.0.1:" + config.discoveryAddress().getPort());
            }

            @Override
            public void configRejected(Exception reason) {
                invalid.add(reason.getMessage());
            }
        });
    }

    @Test
    void takesEachReplacementOnce() throws Exception {
        poll(3);
        assertThat(taken).isEmpty();
        Files.writeString(file, ProxyFixture.config(SECOND));
        poll(3);
        assertThat(taken).containsExactly(SECOND);
    }

    /** A file that is written piece by piece, or missing between two, is read until it parses; each state is told once. */
    @Test
    void waitsForAnInvalidFileToBecomeValid() throws Exception {
        String config = ProxyFixture.config(SECOND);
        Files.delete(file);
        poll(3);
        assertThat(invalid).hasSize(1);
        Files.writeString(file, config.substring(0, config.length() / 2));
        poll(3);
        assertThat(invalid).hasSize(2);
        assertThat(taken).isEmpty();
        Files.writeString(file, config);
        poll(1);
        assertThat(taken).containsExactly(SECOND);
        assertThat(invalid).hasSize(2);
    }

    /** The file system's clock has ticks: a file may be written twice within one. */
    @Test
    void seesAWriteThatLeavesSizeAndTimeAsTheyWere() throws Exception {
        watcher.poll();
        FileTime modified = Files.getLastModifiedTime(file);
        Files.writeString(file, ProxyFixture.config(SECOND));
        Files.setLastModifiedTime(file, modified);
        watcher.poll();
        assertThat(taken).containsExactly(SECOND);
    }

    private void poll(int times) {
        for (int i = 0; i < times; i++) {
            watcher.poll();
        }
    }
}
