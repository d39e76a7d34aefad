package gaugegw.simulator;

import static gaugegw.balancer.testing.TestEndpoints.endpointBuilder;
import static gaugegw.balancer.testing.TestSettings.limits;
import static gaugegw.balancer.testing.TestSettings.requestClass;
import static gaugegw.balancer.testing.TestSettings.safetyLimits;
import static gaugegw.balancer.testing.TestSettings.settings;
import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.AttemptOutcome;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.DeduplicationScope;
import gaugegw.balancer.api.EndpointState;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Tenant;
import gaugegw.balancer.api.UpdateKind;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the simulator host through its wire protocol: settings, every event and every action, the restart of an
 * instance, an exception in its load balancer, and the errors for malformed input.
 */
class SimulatorHostTest {
    private static final String SETTING_FIELDS =
            "balancers=3 rank=2 bounds.cancel=true bounds.may_duplicate=false bounds.most_tries=4 "
                    + "bounds.probes=false bounds.max_retry_after_us=2000000 bounds.connect_timeout_us=150000 "
                    + "registry_mode=on_request locality=skoyen "
                    + "quantum_us=4000 invariants.cold_from=0.4 invariants.cold_us=8100000 invariants.fall_multiple=4.0 "
                    + "invariants.fall_us=1000000 invariants.full_unproven=true invariants.must_ask_in_us=10000000 "
                    + "over_share_worth=0.05 "
                    + "profiles.count=1 profiles.0.name=pay profiles.0.aim_us=400000 profiles.0.deadline_us=2000000 "
                    + "profiles.0.value=10.0 profiles.0.late_worth=0.0 profiles.0.effect=deduplicated "
                    + "profiles.0.key_scope=zone profiles.0.window_us=1200000 projects.count=1 projects.0.name=vest "
                    + "projects.0.allowance_per_s=277.0 extra.warm_keys=true some.new.setting=x";
    private static final String START_MESSAGE = "up who=3 prng=5192 " + SETTING_FIELDS + "\n";
    private static final String ENDPOINT_UPDATE_MESSAGE = "update who=3 form=stale_copy revision=41 nodes_list=1\n"
            + "entry stage_state=IN group=2 machine=std-1 zone=ulven last_start_us=7 capacity_hint=1.5 "
            + "backend=10.1.1.1:80 new_key=1\n";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
    private final List<BalancerSettings> receivedSettings = new ArrayList<>();
    private final List<Event> receivedEvents = new ArrayList<>();
    private final List<Action> actionsToEmit = new ArrayList<>();

    private int runHost(String input) throws IOException {
        return new SimulatorHost(settings -> {
                    receivedSettings.add(settings);
                    return (nowUs, event, actionConsumer) -> {
                        receivedEvents.add(event);
                        if (event instanceof Event.TimerFired timer
                                && timer.token().equals("boom")) {
                            throw new IllegalStateException("out\nof order");
                        }
                        actionsToEmit.forEach(actionConsumer);
                    };
                })
                .run(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        output,
                        new PrintStream(errorOutput, true, StandardCharsets.UTF_8));
    }

    private String replies() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private String errorLine() {
        return errorOutput.toString(StandardCharsets.UTF_8).strip();
    }

    private static String batch(String... lines) {
        return "batch wall_us=100\n" + String.join("", lines) + "commit\n";
    }

    @Test
    void answersEmptyBatchAndExitsNormallyAtEndOfInput() throws IOException {
        assertThat(runHost(batch())).isZero();
        assertThat(replies()).isEqualTo("ok\n");
    }

    @Test
    void decodesSettings() throws IOException {
        assertThat(runHost(batch(START_MESSAGE))).isZero();
        assertThat(receivedSettings)
                .containsExactly(settings()
                        .proxy(2, 3)
                        .zone("skoyen")
                        .minEventIntervalUs(4000)
                        .requestClasses(requestClass("pay")
                                .latencyObjectiveUs(400000)
                                .deadlineUs(2000000)
                                .priorityWeight(10)
                                .lateWeightFraction(0)
                                .deduplicated(DeduplicationScope.ZONE, 1200000)
                                .build())
                        .tenants(new Tenant("vest", 277))
                        .overQuotaWeightFraction(0.05)
                        .cacheAffinity(true)
                        .limits(limits().cancellation(true)
                                .hedging(false)
                                .healthChecks(false)
                                .endpointUpdatesOnRequest(true)
                                .maxAttempts(4)
                                .maxRetryAfterUs(2000000)
                                .connectTimeoutUs(150000)
                                .build())
                        .safetyLimits(safetyLimits()
                                .initialCapacityFraction(0.4)
                                .slowStartUs(8100000)
                                .overloadMultiple(4)
                                .overloadWindowUs(1000000)
                                .pollIntervalUs(10000000)
                                .rejectedMayHaveExecuted(true)
                                .build())
                        .seed(5192)
                        .build());
    }

    @Test
    void decodesZeroMaxRetryAfterIfRetryAfterIsDisabled() throws IOException {
        assertThat(runHost(batch(
                        START_MESSAGE.replace("bounds.probes=false", "bounds.probes=false bounds.retry_after=false"))))
                .isZero();
        assertThat(receivedSettings)
                .extracting(settings -> settings.limits().maxRetryAfterUs())
                .containsExactly(0L);
    }

    @Test
    void decodesEveryEvent() throws IOException {
        assertThat(runHost(batch(
                        START_MESSAGE,
                        ENDPOINT_UPDATE_MESSAGE,
                        "incoming who=3 op_id=t/1 kind=pay user_group=vest path_key=user:k patience_left_us=240000 repeat=1\n",
                        "completed who=3 op_id=t/1 last=0 cost_time_us=18500 how=shed backend=10.1.1.1:80 go=0 health_info=rif:2\n",
                        "flowing who=3 op_id=t/1 cost_time_us=9 go=1 backend=10.1.1.1:80\n",
                        "hangup who=3 op_id=t/1\n",
                        "probed who=3 cost_time_us=14 how=delivered backend=10.1.1.1:80\n",
                        "deadline_hit who=3 ctx=x\n",
                        "inbox who=3 author=2 content=6869\n")))
                .isZero();
        assertThat(receivedEvents)
                .containsExactly(
                        new Event.EndpointUpdate(
                                UpdateKind.CACHED,
                                List.of(endpointBuilder("10.1.1.1:80")
                                        .state(EndpointState.READY)
                                        .kind("std-1")
                                        .zone("ulven")
                                        .cell(2)
                                        .startedAtUs(7)
                                        .weight(1.5)
                                        .build())),
                        new Event.RequestArrived("t/1", "pay", "vest", "user:k", 240000, true),
                        new Event.AttemptEnded("t/1", 0, "10.1.1.1:80", AttemptOutcome.REJECTED, 18500, false),
                        new Event.StreamStarted("t/1", 1),
                        new Event.ClientDisconnected("t/1"),
                        new Event.HealthCheckEnded("10.1.1.1:80", AttemptOutcome.SUCCESS, 14),
                        new Event.TimerFired("x"));
    }

    @Test
    void encodesEveryAction() throws IOException {
        actionsToEmit.addAll(List.of(
                new Action.StartAttempt("t/1", "b:1", 80),
                new Action.SetTimer(90, "q"),
                new Action.Reject("t/1", 0),
                new Action.Reject("t/2", 5),
                new Action.Fail("t/3"),
                new Action.CancelAttempt("t/1", 2),
                new Action.CheckHealth("b:1"),
                new Action.WatchEndpoints(true),
                new Action.FetchEndpoints(),
                new Action.CloseIdleConnections("b:1"),
                new Action.LogMessage("two\nlines")));
        assertThat(runHost(batch(START_MESSAGE, "deadline_hit who=3 ctx=x\n"))).isZero();
        assertThat(replies()).isEqualTo("""
                relay who=3 op_id=t/1 backend=b:1 max_wait_us=80
                arm who=3 fire_at_us=90 ctx=q
                not_now who=3 op_id=t/1
                not_now who=3 op_id=t/2 not_before_for_us=5
                finish_error who=3 op_id=t/3
                retract who=3 op_id=t/1 go=2
                sound_out who=3 backend=b:1
                observe who=3 enable=1
                pull who=3
                release who=3 backend=b:1
                print who=3 message=two lines
                ok
                """);
    }

    /**
     * A proxy is killed and restarted within one batch. The new instance must get a new load balancer: the state of the
     * previous one would refer to requests that no longer exist.
     */
    @Test
    void createsNewLoadBalancerForInstanceKilledAndRestartedInOneBatch() throws IOException {
        assertThat(runHost(batch(START_MESSAGE) + batch("detach who=3\n", START_MESSAGE, "hangup who=3 op_id=t/1\n")))
                .isZero();
        assertThat(receivedSettings).hasSize(2);
        assertThat(receivedEvents).hasSize(1);
    }

    /**
     * A load balancer throws an exception. The reply must tell the simulator, on one line, which instance failed and
     * where in the code. It must also be complete: the simulator would wait forever for its last line.
     */
    @Test
    void reportsLoadBalancerExceptionWithInstanceAndCodeLocation() throws IOException {
        assertThat(runHost(batch(START_MESSAGE, "deadline_hit who=3 ctx=boom\n")))
                .isZero();
        assertThat(replies())
                .startsWith("panic who=3 message=java.lang.IllegalStateException: out of order at gaugegw")
                .endsWith("\nok\n")
                .contains("HostTest.java:");
    }

    /**
     * The simulator and this program disagree about the protocol. The run must end with an error that names the line
     * and the invalid part of it, and without writing an incomplete reply.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "hangup who=3| hangup: missing field 'op_id'",
                "hangup op_id=1| hangup: missing field 'who'",
                "hangup who=x op_id=1| hangup: invalid number 'x' in field 'who'",
                "hangup who=4 op_id=1| hangup: instance 4 is not running",
                "wave who=3| unknown event 'wave'",
                "hangup who=3 op_id| malformed field 'op_id', expected name=value",
                "completed who=3 op_id=1 go=0 backend=b cost_time_us=1 how=odd| completed: unknown value 'odd' in field 'how'",
                "completed who=3 op_id=1 go=0 backend=b cost_time_us=1 how=shed last=2| completed: invalid boolean '2' in field 'last'",
                "update who=3 form=whole nodes_list=1| expected message 'entry', found 'commit'",
                "batch wall_us=2| batch: missing field 'who'"
            })
    void reportsLineNumberAndInvalidPartOfMalformedMessage(String line, String expectedError) throws IOException {
        assertThat(runHost(batch(START_MESSAGE, line + "\n"))).isEqualTo(1);
        assertThat(errorLine()).matches("line [34]: .*").endsWith(expectedError.strip());
        assertThat(replies()).isEmpty();
    }

    @Test
    void rejectsMessageOutsideBatch() throws IOException {
        assertThat(runHost("hangup who=3\n")).isEqualTo(1);
        assertThat(errorLine()).isEqualTo("line 1: expected message 'batch', found 'hangup'");
    }

    /**
     * The simulator terminates in the middle of a batch. The error line and the exit status must show that, rather than
     * a normal end.
     */
    @Test
    void rejectsInputThatEndsInsideBatch() throws IOException {
        assertThat(runHost("batch wall_us=1\n" + START_MESSAGE)).isEqualTo(1);
        assertThat(errorLine()).isEqualTo("line 3: input ended before the last line of the batch");
    }

    /**
     * A required setting is missing. It must not get a default value, because the load balancer would then run with a
     * limit that nobody configured. The error names the setting.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "balancers",
                "rank",
                "bounds.cancel",
                "bounds.most_tries",
                "registry_mode",
                "locality",
                "quantum_us",
                "invariants.cold_from",
                "invariants.fall_us",
                "invariants.must_ask_in_us",
                "over_share_worth",
                "profiles.count",
                "profiles.0.aim_us",
                "profiles.0.effect",
                "profiles.0.window_us",
                "projects.0.allowance_per_s"
            })
    void reportsNameOfMissingSetting(String setting) throws IOException {
        String startWithoutSetting = START_MESSAGE.replaceAll(" " + setting.replace(".", "\\.") + "=\\S*", "");
        assertThat(startWithoutSetting).isNotEqualTo(START_MESSAGE);
        assertThat(runHost(batch(startWithoutSetting))).isEqualTo(1);
        assertThat(errorLine()).isEqualTo("line 2: up: missing or empty setting '" + setting + "'");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "balancers=3|balancers=0|invalid setting 'balancers': 0, must be at least 1",
                "profiles.0.aim_us=400000|profiles.0.aim_us=-1|"
                        + "invalid setting 'aim_us' of profile 'pay': -1, must be greater than 0",
                "bounds.cancel=true|bounds.cancel=maybe|unknown value 'maybe' in setting 'bounds.cancel', "
                        + "must be one of [0, 1, false, true]",
                "quantum_us=4000|quantum_us=4.5|bad number '4.5' in setting 'quantum_us', must be a whole number"
            })
    void reportsNameOfInvalidSetting(String valid, String invalid, String expectedError) throws IOException {
        assertThat(runHost(batch(START_MESSAGE.replace(valid, invalid)))).isEqualTo(1);
        assertThat(errorLine()).isEqualTo("line 2: up: " + expectedError);
    }
}
