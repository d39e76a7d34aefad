package gaugegw.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.testing.ProxyFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The times of the steps of a graceful shutdown. */
class DrainScheduleTest {
    /** Minimum time from the longest deadline to SIGKILL, in milliseconds. */
    private static final long KILL_DELAY_MS = 700;

    /** Upper bound on the longest deadline, in milliseconds. */
    private static final long MAX_DEADLINE_MS = 3_000;

    @Test
    void schedulesStepsByTheLongestDeadline() throws Exception {
        assertThat(schedule(2_000)).isEqualTo(new DrainSchedule(500, 1_500, 2_000, 2_550, 2_600));
    }

    /**
     * The longest deadline is short, usual, or above the upper bound. Requests must have until the deadline or the
     * bound to be answered, and the process must exit before SIGKILL ends it with requests in flight.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 200, 2_000, 3_000, 60_000})
    void exitsAfterTheDeadlineAndBeforeSigkill(long deadlineMs) throws Exception {
        DrainSchedule schedule = schedule(deadlineMs);
        long boundedDeadlineMs = Math.min(deadlineMs, MAX_DEADLINE_MS);
        assertThat(schedule.closeAfterResponsesMs()).isBetween(0L, schedule.closeIdleMs());
        assertThat(schedule.failRemainingMs()).isBetween(boundedDeadlineMs, schedule.exitMs() - 1);
        assertThat(schedule.exitMs()).isLessThan(boundedDeadlineMs + KILL_DELAY_MS);
    }

    private static DrainSchedule schedule(long deadlineMs) throws Exception {
        String config = ProxyFixture.configText("127.0.0.1:1")
                .replaceAll("deadline_us\":\\d+", "deadline_us\":" + deadlineMs * 1_000);
        return DrainSchedule.of(
                ProxyConfig.parse(ProxyFixture.parseJson(config)).settings());
    }
}
