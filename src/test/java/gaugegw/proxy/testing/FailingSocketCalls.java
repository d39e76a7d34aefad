package gaugegw.proxy.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Makes system calls on the sockets of a {@link ProxyProcess} fail, by a library that is compiled with the C compiler
 * {@code cc} and preloaded into the process. The source of the library, {@code failing_socket_calls.c}, describes which
 * calls can fail and how they are chosen. The failures begin when they are switched on.
 */
public final class FailingSocketCalls {
    private static final Path SOURCE = Path.of("src", "test", "native", "failing_socket_calls.c");
    private static Path compiledLibrary;

    private final String rules;
    private final Path switchFile;

    /**
     * Prepares failures that are switched off.
     *
     * @param folder where the file of the switch is created
     * @param rules the calls that fail, as in {@code write/client:ENOBUFS:3}
     */
    public FailingSocketCalls(Path folder, String rules) throws IOException {
        this.rules = rules;
        this.switchFile = Files.writeString(folder.resolve("failing-socket-calls"), "0");
    }

    /** Returns the shell commands that preload the library; see {@link ProxyProcess#start}. */
    public String shellPrefix() throws IOException, InterruptedException {
        return "export LD_PRELOAD='" + library() + "' FAILING_SOCKET_CALLS='" + rules
                + "' FAILING_SOCKET_CALLS_SWITCH='" + switchFile + "'; ";
    }

    /** As {@link #shellPrefix()}, with calls that are chosen at random. */
    public String shellPrefix(long seed) throws IOException, InterruptedException {
        return "export FAILING_SOCKET_CALLS_SEED=" + seed + "; " + shellPrefix();
    }

    /** Switches the failures on or off. */
    public void enable(boolean enabled) throws IOException {
        // Written in place: the process has mapped the file.
        Files.writeString(switchFile, enabled ? "1" : "0", StandardOpenOption.WRITE);
    }

    private static synchronized Path library() throws IOException, InterruptedException {
        if (compiledLibrary == null) {
            Path library = Files.createTempFile("failing-socket-calls", ".so");
            library.toFile().deleteOnExit();
            int status = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), SOURCE.toString(), "-ldl")
                    .inheritIO()
                    .start()
                    .waitFor();
            if (status != 0) {
                throw new IOException("cc ended with status " + status + " when it compiled " + SOURCE);
            }
            compiledLibrary = library;
        }
        return compiledLibrary;
    }
}
