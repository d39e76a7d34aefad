package gaugegw.proxy.testing;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;

/**
 * The program in a separate process, started by the {@code run} command of {@code deploy/balancer.toml} with the
 * classes under test.
 */
public final class ProxyProcess implements Closeable {
    private static final String LISTENING = "listening on ";
    private static final String CLASS_PATH = classPath();
    /**
     * The number of jars on the test class path, less one. In production all classes are in a single jar; each further
     * jar takes up a descriptor.
     */
    public static final int EXTRA_JARS = (int) countJars(Arrays.stream(CLASS_PATH.split(File.pathSeparator, -1))) - 1;

    private final Process process;
    private final List<String> log = new CopyOnWriteArrayList<>();

    private ProxyProcess(Process process) {
        this.process = process;
        ScriptedServer.runInBackground(this::collectLog);
    }

    /**
     * Starts the program with default signal handling, even if the tests were started with signals ignored.
     *
     * @param shellPrefix shell commands that run first, in the shell that is then replaced by the program
     */
    public static ProxyProcess start(Path config, String shellPrefix) throws IOException {
        String run = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceAll("^run = \"|\"$", "")
                .replace("exec java", "exec '" + Path.of(System.getProperty("java.home"), "bin", "java") + "'")
                .replace("-jar target/gaugegw.jar", "-cp \"$TEST_CLASS_PATH\" gaugegw.Main");
        var command = new ProcessBuilder("env", "--default-signal=HUP,INT,TERM", "/bin/sh", "-c", shellPrefix + run)
                .redirectErrorStream(true);
        command.environment().put("TEST_CLASS_PATH", CLASS_PATH);
        command.environment().put("PROXY_CONFIG", config.toString());
        return new ProxyProcess(command.start());
    }

    /** Starts the program with a limit on descriptors that the kernel enforces. */
    public static ProxyProcess start(Path config, int descriptors) throws IOException {
        return start(config, "ulimit -n " + descriptors + "; ");
    }

    private void collectLog() throws IOException {
        try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.add(line);
            }
        }
    }

    /** Waits until a line of the log contains a text. */
    public void awaitLog(String text) throws InterruptedException {
        ScriptedServer.await(() -> hasLogged(text));
    }

    /** Returns whether a line of the log contains a text. */
    public boolean hasLogged(String text) {
        return log.stream().anyMatch(line -> line.contains(text));
    }

    /** Waits for the log line with the port on which the proxy listens, and returns the port. */
    public int awaitPort() throws InterruptedException {
        awaitLog(LISTENING);
        String line =
                log.stream().filter(l -> l.contains(LISTENING)).findFirst().orElseThrow();
        return Integer.parseInt(line.replaceAll(".*" + LISTENING + "(\\d+).*", "$1"));
    }

    /** Returns the lines of the log so far. */
    public List<String> log() {
        return List.copyOf(log);
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the number of descriptors that the process has open. */
    public int openDescriptors() {
        String[] open = new File("/proc/" + process.pid() + "/fd").list();
        if (open == null) {
            throw new AssertionError("the process has ended, its descriptors can't be counted");
        }
        return open.length;
    }

    /** Returns the number of jars that the process has open. */
    public long openJars() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return countJars(open.map(ProxyProcess::linkTarget));
        }
    }

    /** Sends the process a signal, whose name is given without the prefix {@code SIG}. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Waits until the process has ended, and returns its exit status. */
    public int awaitExit() throws InterruptedException {
        ScriptedServer.await(() -> !process.isAlive());
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private static long countJars(Stream<String> names) {
        return names.filter(name -> name.endsWith(".jar")).count();
    }

    private static String linkTarget(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString();
        } catch (IOException e) {
            // The descriptor was closed after the directory was listed. It was not that of a jar, as jars stay open.
            return "";
        }
    }

    /**
     * Returns the class path of the tests, with the classes under test packed into a jar. The jar stays open, as in
     * production, so that loading a class later opens no further descriptor.
     */
    private static String classPath() {
        String[] parts = System.getProperty("java.class.path").split(File.pathSeparator, -1);
        Path classes = Path.of("target", "classes").toAbsolutePath();
        return String.join(
                File.pathSeparator,
                Arrays.stream(parts)
                        .map(part -> Path.of(part).equals(classes) ? packIntoJar(classes) : part)
                        .toList());
    }

    private static String packIntoJar(Path classes) {
        try (Stream<Path> files = Files.walk(classes)) {
            Path jar = Files.createTempFile("classes", ".jar");
            jar.toFile().deleteOnExit();
            try (var out = new JarOutputStream(Files.newOutputStream(jar))) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    out.putNextEntry(new JarEntry(classes.relativize(file).toString()));
                    Files.copy(file, out);
                }
            }
            return jar.toString();
        } catch (IOException e) {
            throw new IllegalStateException("could not pack the classes into a jar", e);
        }
    }
}
