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

/** The signals of the program as it runs in service, both received and inherited as ignored. */
class SignalHandlersTest {
    private static final String FIRST_CALL = "GET /v1/endpoints HTTP/1.1";

    @TempDir
    private Path folder;

    private Path file;

    @BeforeEach
    void nameConfigFile() {
        file = folder.resolve("config.json");
    }

    /**
     * SIGTERM arrives while the proxy waits for the first answer of discovery's agent, before it listens. It ends as it
     * does in service, with status 0.
     */
    @Test
    void endsOrderlyOnSigtermBeforeItListens() throws Exception {
        try (var agent = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.configText(agent.address()).replace("on_request", "pushed"));
            try (var process = ProxyProcess.start(file, "")) {
                // No client is accepted before this call is answered, and it never is.
                agent.accept().read();
                process.signal("TERM");
                assertThat(process.awaitExit()).isZero();
            }
        }
    }

    /**
     * The file is replaced twice, then SIGHUP arrives. Without a handler the signal would end the process. The proxy is
     * to go on with the second file, and to have ignored the first, as no signal came for it.
     */
    @Test
    void reloadsItsFileOnSighupOnly() throws Exception {
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
                // It is the first connection of all: the proxy has not called there.
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
     * A supervisor starts the process with SIGHUP ignored, so that no handler runs. The file is replaced, then half
     * written, then complete. The proxy polls it: it reloads each valid state, and keeps its configuration in between.
     */
    @Test
    void pollsItsFileWhereSighupIsIgnored() throws Exception {
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

    /** A supervisor starts the process with SIGTERM ignored. No Java code can receive it then; the log has to say so. */
    @Test
    void logsThatSigtermIsIgnored() throws Exception {
        try (var discovery = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.configText(discovery.address()));
            try (var process = ProxyProcess.start(file, "trap '' TERM; ")) {
                process.awaitLog("SIGTERM was already ignored when this process started");
            }
        }
    }

    /** Replaces the file at once, as the platform does. */
    private void replace(String config) throws Exception {
        Path next = Files.writeString(folder.resolve("next.json"), config);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
