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
 * Checks that the load balancer still makes the decisions that were recorded, to find unintended changes of behaviour
 * in a refactoring. A generated workload for each scenario runs against the simulator host, and the SHA-256 of all
 * replies is compared with the one in decision-digests.txt.
 *
 * <p>To find the first decision that differs, run the test on both versions with {@code -Ddecision.trace.dir=DIR},
 * which writes the batches and replies of each scenario to a file, and compare the files with diff. After an intended
 * change of decisions, update decision-digests.txt: each failing test prints the new line.
 */
class DecisionDigestTest {
    private static final String DIGEST_FILE = "/decision-digests.txt";
    private static final long MIN_SIMULATED_US = 60_000_000;
    private static final int MIN_EVENTS = 2_000;
    private static final Map<String, WorkloadResult> RESULTS = new LinkedHashMap<>();

    private record WorkloadResult(String digest, int eventCount, long simulatedUs, Map<String, Integer> actionCounts) {}

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

    private static WorkloadResult runWorkload(WorkloadScenario scenario) throws IOException {
        var workload = new GeneratedWorkload(scenario);
        var errors = new ByteArrayOutputStream();
        int exitStatus;
        try {
            exitStatus =
                    new SimulatorHost().run(workload.input(), workload.output(), new PrintStream(errors, true, UTF_8));
        } finally {
            String traceDirectory = System.getProperty("decision.trace.dir");
            if (traceDirectory != null) {
                Files.createDirectories(Path.of(traceDirectory));
                Files.writeString(Path.of(traceDirectory, scenario.name() + ".txt"), workload.transcript());
            }
        }
        assertThat(errors.toString(UTF_8)).isEmpty();
        assertThat(exitStatus).isZero();
        return new WorkloadResult(
                sha256(workload.replies()), workload.eventCount(), workload.elapsedUs(), workload.actionCounts());
    }

    private static WorkloadResult resultOf(WorkloadScenario scenario) {
        return RESULTS.computeIfAbsent(scenario.name(), name -> {
            try {
                return runWorkload(scenario);
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

    private static Map<String, String> recordedDigests() throws IOException {
        var digests = new LinkedHashMap<String, String>();
        try (InputStream in = DecisionDigestTest.class.getResourceAsStream(DIGEST_FILE)) {
            assertThat(in).as(DIGEST_FILE).isNotNull();
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
    void repliesMatchRecordedDigest(WorkloadScenario scenario) throws IOException {
        WorkloadResult result = resultOf(scenario);
        assertThat(scenario.name() + " = " + result.digest())
                .as(
                        "digest of the replies in scenario %s; to find the first decision that differs, "
                                + "run this test on both versions with -Ddecision.trace.dir=DIR "
                                + "and compare the files DIR/%s.txt with diff",
                        scenario.name(), scenario.name())
                .isEqualTo(scenario.name() + " = " + recordedDigests().get(scenario.name()));
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void workloadRunsLongEnoughAndStartsAttempts(WorkloadScenario scenario) {
        WorkloadResult result = resultOf(scenario);
        assertThat(result.simulatedUs()).isGreaterThanOrEqualTo(MIN_SIMULATED_US);
        assertThat(result.eventCount()).isGreaterThanOrEqualTo(MIN_EVENTS);
        assertThat(result.actionCounts().getOrDefault("relay", 0)).isGreaterThan(MIN_EVENTS / 10);
    }

    @Test
    void workloadsCauseEveryKindOfActionThatTheLoadBalancerEmits() {
        var kinds = new TreeSet<String>();
        scenarios()
                .forEach(scenario ->
                        kinds.addAll(resultOf(scenario).actionCounts().keySet()));
        assertThat(kinds).contains("relay", "arm", "retract", "not_now", "finish_error", "observe", "release");
    }

    @Test
    void digestFileContainsExactlyTheScenarios() throws IOException {
        assertThat(recordedDigests().keySet())
                .containsExactlyElementsOf(
                        scenarios().stream().map(WorkloadScenario::name).toList());
    }
}
