package gaugegw.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.config.SocketAddresses;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.ProxyProcess;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The signals that the program handles, both when it receives them and when they were already ignored at its start.
 * Each test runs the program in a separate process.
 */
class SignalHandlersTest {
    private static final String FIRST_CALL = "GET /v1/endpoints HTTP/1.1";

    @TempDir
    private Path folder;

    private Path file;

    @BeforeEach
    void setConfigFile() {
        file = folder.resolve("config.json");
    }

    /**
     * SIGTERM arrives before the proxy listens, while it waits for the first response of its local discovery agent. The
     * process must exit with status 0, as it does once it serves clients.
     */
    @Test
    void exitsCleanlyOnSigtermBeforeItListens() throws Exception {
        try (var agent = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.configText(agent.address()).replace("on_request", "pushed"));
            try (var process = ProxyProcess.start(file, "")) {
                // The proxy accepts no client before it has a response to this call, which is never answered.
                agent.accept().read();
                process.signal("TERM");
                assertThat(process.awaitExit()).isZero();
            }
        }
    }

    /**
     * The configuration file is replaced twice, then SIGHUP arrives. Without a handler the signal would end the
     * process. The proxy must apply the second replacement, and must not have applied the first, as no signal followed
     * it.
     */
    @Test
    void reloadsConfigurationFileOnSighupOnly() throws Exception {
        try (var first = new ScriptedServer();
                var neverCalled = new ScriptedServer();
                var second = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.configText(first.address()));
            try (var process = ProxyProcess.start(file, "")) {
                first.accept().read();
                replace(ProxyFixture.configText(neverCalled.address()));
                replace(ProxyFixture.configText(second.address()));
                process.signal("HUP");
                assertThat(second.accept().read().firstLine()).isEqualTo(FIRST_CALL);
                // The test's own connection is the first that this server accepts, so the proxy has not called it.
                try (var own = RawConnection.connectTo(
                        SocketAddresses.parse(neverCalled.address()).orElseThrow())) {
                    own.send("own\r\n\r\n");
                    assertThat(neverCalled.accept().read().firstLine()).isEqualTo("own");
                }
                process.signal("TERM");
                assertThat(process.awaitExit()).isZero();
                assertThat(process.hasLogged("was already ignored when this process started"))
                        .isFalse();
            }
        }
    }

    /**
     * A supervisor starts the process with SIGHUP ignored, so that no handler can run. The configuration file is
     * replaced, then truncated to its first half, then complete. The proxy must poll the file, apply each valid
     * configuration, and keep the current one while the file is invalid.
     */
    @Test
    void pollsConfigurationFileIfSighupIsIgnored() throws Exception {
        try (var first = new ScriptedServer();
                var second = new ScriptedServer();
                var third = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.configText(first.address()));
            try (var process = ProxyProcess.start(file, "trap '' HUP; ")) {
                first.accept().read();
                process.awaitLog("SIGHUP was already ignored when this process started");
                replace(ProxyFixture.configText(second.address()));
                assertThat(second.accept().read().firstLine()).isEqualTo(FIRST_CALL);
                String config = ProxyFixture.configText(third.address());
                Files.writeString(file, config.substring(0, config.length() / 2));
                process.awaitLog("can't use the new configuration, keeping the current one");
                Files.writeString(file, config);
                process.signal("HUP");
                assertThat(third.accept().read().firstLine()).isEqualTo(FIRST_CALL);
            }
        }
    }

    /**
     * A supervisor starts the process with SIGTERM ignored. Java code can't receive the signal then, so the process
     * will not drain. This must be logged.
     */
    @Test
    void logsThatSigtermIsIgnored() throws Exception {
        try (var discovery = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.configText(discovery.address()));
            try (var process = ProxyProcess.start(file, "trap '' TERM; ")) {
                process.awaitLog("SIGTERM was already ignored when this process started");
            }
        }
    }

    /** Replaces the file atomically, as the platform does. */
    private void replace(String config) throws Exception {
        Path next = Files.writeString(folder.resolve("next.json"), config);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
