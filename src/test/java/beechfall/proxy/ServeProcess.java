package beechfall.proxy;

import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** The program as it runs in service, with a limit of descriptors that the kernel enforces. */
final class ServeProcess implements Closeable {
    static final String CONFIG = "config.json";

    private static final String CLASS_PATH = System.getProperty("java.class.path");
    /** In service all classes are in one jar; here each jar of the class path takes a descriptor. */
    static final int FURTHER_JARS = (int) jars(Arrays.stream(CLASS_PATH.split(File.pathSeparator, -1))) - 1;

    private static final String LISTENING = "listening on ";

    private final Process process;
    private final Path log;

    ServeProcess(Path folder, String config, int descriptors) throws IOException {
        log = folder.resolve("log");
        ProcessBuilder command = command(folder, config);
        command.command().addAll(0, List.of("/bin/sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "sh"));
        process = command.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    /** Starts it without a limit of its own. */
    static Process start(Path folder, String config) throws IOException {
        return command(folder, config).inheritIO().start();
    }

    /** Returns the number of descriptors that it holds. */
    int descriptors() {
        String[] open = new File("/proc/" + process.pid() + "/fd").list();
        if (open == null) {
            throw new AssertionError("the process has ended");
        }
        return open.length;
    }

    /** Returns the number of jars that it holds open. */
    long jars() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return jars(open.map(ServeProcess::target));
        }
    }

    /** Returns what it has logged. */
    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until it says where it listens. */
    int port() throws InterruptedException {
        Peer.until(() -> log().matches("(?s).*" + LISTENING + "\\d+\\D.*"));
        return Integer.parseInt(log().replaceAll("(?s).*" + LISTENING + "(\\d+)\\D.*", "$1"));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private static long jars(Stream<String> names) {
        return names.filter(name -> name.endsWith(".jar")).count();
    }

    private static String target(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString();
        } catch (IOException e) {
            // Closed meanwhile: it was no jar.
            return "";
        }
    }

    private static ProcessBuilder command(Path folder, String config) throws IOException {
        Path file = Files.writeString(folder.resolve(CONFIG), config);
        var command = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                CLASS_PATH,
                "beechfall.Main",
                "serve");
        command.environment().put("PROXY_CONFIG", file.toString());
        return command;
    }
}
