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

/** The signals of the program as it runs in service, received or inherited as ignored. */
class SignalHandlersTest {
    private static final String FIRST_CALL = "GET /v1/endpoints HTTP/1.1";

    @TempDir
    private Path folder;

    private Path file;

    @BeforeEach
    void nameFile() {
        file = folder.resolve("config.json");
    }

    /** Told to end before it has begun to listen: it ends as it does later. */
    @Test
    void drainsWheneverItIsToldToEnd() throws Exception {
        try (var agent = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.config(agent.address()).replace("on_request", "pushed"));
            try (var process = ProxyProcess.start(file, "")) {
                // It lets nobody in before this is answered, and it is not.
                agent.accept().read();
                process.signal("TERM");
                assertThat(process.awaitExit()).isZero();
            }
        }
    }

    /** Without a handler SIGHUP would end it; a replaced file alone changes nothing where the signal can be received. */
    @Test
    void readsItsFileAgainOnSighupOnly() throws Exception {
        try (var first = new ScriptedServer();
                var neverAsked = new ScriptedServer();
                var second = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.config(first.address()));
            try (var process = ProxyProcess.start(file, "")) {
                first.accept().read();
                replace(ProxyFixture.config(neverAsked.address()));
                replace(ProxyFixture.config(second.address()));
                process.signal("HUP");
                assertThat(second.accept().read().first()).isEqualTo(FIRST_CALL);
                // The first connection of all: nobody came before.
                try (var own = RawConnection.to(
                        SocketAddresses.parse(neverAsked.address()).orElseThrow())) {
                    own.send("own\r\n\r\n");
                    assertThat(neverAsked.accept().read().first()).isEqualTo("own");
                }
                process.signal("TERM");
                assertThat(process.awaitExit()).isZero();
                assertThat(process.logs("inherited as ignored")).isFalse();
            }
        }
    }

    /** Where SIGHUP is inherited as ignored no handler runs: the file's replacement is what counts. */
    @Test
    void readsAReplacedFileWhereSighupIsIgnored() throws Exception {
        try (var first = new ScriptedServer();
                var second = new ScriptedServer();
                var third = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.config(first.address()));
            try (var process = ProxyProcess.start(file, "trap '' HUP; ")) {
                first.accept().read();
                process.awaitLog("SIGHUP is inherited as ignored");
                replace(ProxyFixture.config(second.address()));
                assertThat(second.accept().read().first()).isEqualTo(FIRST_CALL);
                String config = ProxyFixture.config(third.address());
                Files.writeString(file, config.substring(0, config.length() / 2));
                process.awaitLog("the new configuration is left alone");
                Files.writeString(file, config);
                process.signal("HUP");
                assertThat(third.accept().read().first()).isEqualTo(FIRST_CALL);
            }
        }
    }

    /** No Java code can receive it then: the log has to say so. */
    @Test
    void tellsThatSigtermIsIgnored() throws Exception {
        try (var discovery = new ScriptedServer()) {
            Files.writeString(file, ProxyFixture.config(discovery.address()));
            try (var process = ProxyProcess.start(file, "trap '' TERM; ")) {
                process.awaitLog("SIGTERM is inherited as ignored");
            }
        }
    }

    private void replace(String config) throws Exception {
        Path next = Files.writeString(folder.resolve("next.json"), config);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
