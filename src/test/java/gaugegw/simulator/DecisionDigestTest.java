package gaugegw.simulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.simulator.workload.GeneratedWorkload;
import gaugegw.simulator.workload.WorkloadScenario;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards refactorings: generated workloads lead to the very decisions that were recorded. Each scenario is played
 * through the host as wire text, and the SHA-256 of all replies is compared with the one in decision-digests.txt.
 *
 * <p>To see the first decision that differs, run it on both versions with {@code -Ddecision.trace.dir=DIR}, which writes
 * the events and replies of each scenario to a file, and compare the files with diff. A change that is meant to alter
 * decisions records new digests: a failing test prints the line that it found.
 */
class DecisionDigestTest {
    private static final String DIGESTS = "/decision-digests.txt";
    private static final long LEAST_PLAYED_US = 60_000_000;
    private static final int LEAST_EVENTS = 2_000;
    private static final Map<String, Played> PLAYED = new LinkedHashMap<>();

    private record Played(String digest, int events, long playedUs, Map<String, Integer> actions) {}

    static List<WorkloadScenario> scenarios() {
        var scenarios = new ArrayList<WorkloadScenario>();
        for (int proxyCount : new int[] {1, 3, 30, 400}) {
            for (boolean pushed : new boolean[] {true, false}) {
                for (int variant = 1; variant <= 3; variant++) {
                    scenarios.add(new WorkloadScenario(proxyCount, pushed, variant));
                }
            }
        }
        return scenarios;
    }

    private static Played play(WorkloadScenario scenario) throws IOException {
        var workload = new GeneratedWorkload(scenario);
        var errors = new ByteArrayOutputStream();
        int exit;
        try {
            exit = new SimulatorHost().run(workload.input(), workload.output(), new PrintStream(errors, true, UTF_8));
        } finally {
            String directory = System.getProperty("decision.trace.dir");
            if (directory != null) {
                Files.createDirectories(Path.of(directory));
                Files.writeString(Path.of(directory, scenario.name() + ".txt"), workload.transcript());
            }
        }
        assertThat(errors.toString(UTF_8)).isEmpty();
        assertThat(exit).isZero();
        return new Played(
                sha256(workload.replies()), workload.eventCount(), workload.elapsedUs(), workload.actionCounts());
    }

    private static Played played(WorkloadScenario scenario) {
        return PLAYED.computeIfAbsent(scenario.name(), name -> {
            try {
                return play(scenario);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private static String sha256(String text) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Map<String, String> recorded() throws IOException {
        var digests = new LinkedHashMap<String, String>();
        try (InputStream in = DecisionDigestTest.class.getResourceAsStream(DIGESTS)) {
            assertThat(in).as(DIGESTS).isNotNull();
            for (String line : new String(in.readAllBytes(), UTF_8).lines().toList()) {
                if (!line.isBlank() && !line.startsWith("#")) {
                    String[] parts = line.split(" = ", 2);
                    digests.put(parts[0], parts[1]);
                }
            }
        }
        return digests;
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void decidesAsRecorded(WorkloadScenario scenario) throws IOException {
        Played played = played(scenario);
        assertThat(scenario.name() + " = " + played.digest())
                .as(
                        "decisions of %s; for the first that differs, run this on both versions with "
                                + "-Ddecision.trace.dir=DIR and diff DIR/%s.txt",
                        scenario.name(), scenario.name())
                .isEqualTo(scenario.name() + " = " + recorded().get(scenario.name()));
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void playsLongEnoughAndSends(WorkloadScenario scenario) {
        Played played = played(scenario);
        assertThat(played.playedUs()).isGreaterThanOrEqualTo(LEAST_PLAYED_US);
        assertThat(played.events()).isGreaterThanOrEqualTo(LEAST_EVENTS);
        assertThat(played.actions().getOrDefault("relay", 0)).isGreaterThan(LEAST_EVENTS / 10);
    }

    @Test
    void leadsToEveryKindOfAction() {
        var kinds = new TreeSet<String>();
        scenarios().forEach(scenario -> kinds.addAll(played(scenario).actions().keySet()));
        assertThat(kinds).contains("relay", "arm", "retract", "not_now", "finish_error", "observe", "release");
    }

    @Test
    void recordsEachScenarioAndNoOther() throws IOException {
        assertThat(recorded().keySet())
                .containsExactlyElementsOf(
                        scenarios().stream().map(WorkloadScenario::name).toList());
    }
}
