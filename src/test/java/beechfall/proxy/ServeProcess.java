package beechfall.proxy;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The program as the {@code run} command of {@code deploy/balancer.toml} starts it, with the classes under test. */
final class ServeProcess implements Closeable {
    private final Process process;
    private final List<String> log = new CopyOnWriteArrayList<>();

    private ServeProcess(Process process) {
        this.process = process;
        Peer.background(this::keepLog);
    }

    /** Starts the program; {@code shell} runs first in the shell that becomes the program. */
    static ServeProcess start(Path config, String shell) throws IOException {
        String run = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceAll("^run = \"|\"$", "")
                .replace("exec java", "exec '" + Path.of(System.getProperty("java.home"), "bin", "java") + "'")
                .replace("-jar target/beechfall.jar", "-cp \"$TEST_CLASS_PATH\" beechfall.Main");
        var command = new ProcessBuilder("/bin/sh", "-c", shell + run).redirectErrorStream(true);
        command.environment().put("TEST_CLASS_PATH", System.getProperty("java.class.path"));
        command.environment().put("PROXY_CONFIG", config.toString());
        return new ServeProcess(command.start());
    }

    private void keepLog() throws IOException {
        try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.add(line);
            }
        }
    }

    /** Waits until a line of the log holds a text. */
    void awaitLog(String text) throws InterruptedException {
        Peer.until(() -> log.stream().anyMatch(line -> line.contains(text)));
    }

    /** Returns all that the program has written so far. */
    List<String> log() {
        return List.copyOf(log);
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    int awaitExit() throws InterruptedException {
        Peer.until(() -> !process.isAlive());
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
