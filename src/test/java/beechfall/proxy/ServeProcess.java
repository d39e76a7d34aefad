package beechfall.proxy;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** The program as it runs in service. */
final class ServeProcess {
    static final String CONFIG = "config.json";

    private static final String CLASS_PATH = System.getProperty("java.class.path");
    /** In service all classes are in one jar; here each jar of the class path takes a descriptor. */
    static final int FURTHER_JARS = (int) jars(Arrays.stream(CLASS_PATH.split(File.pathSeparator, -1))) - 1;

    private ServeProcess() {}

    static Process start(Path folder, String config) throws IOException {
        return command(folder, config).inheritIO().start();
    }

    /** Starts it with a limit of descriptors that the kernel enforces; what it logs goes to a file. */
    static Process start(Path folder, String config, int descriptors, File log) throws IOException {
        ProcessBuilder command = command(folder, config);
        command.command().addAll(0, List.of("/bin/sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "sh"));
        return command.redirectErrorStream(true).redirectOutput(log).start();
    }

    /** Returns the number of descriptors that it holds. */
    static int descriptors(Process process) {
        String[] open = new File("/proc/" + process.pid() + "/fd").list();
        if (open == null) {
            throw new AssertionError("the process has ended");
        }
        return open.length;
    }

    /** Returns the number of jars that it holds open. */
    static long jars(Process process) throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return jars(open.map(ServeProcess::target));
        }
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
