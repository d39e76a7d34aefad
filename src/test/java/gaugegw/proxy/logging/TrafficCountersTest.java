package gaugegw.proxy.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The counts in the log must be those since the last line. */
class TrafficCountersTest {
    private final TrafficCounters counters = new TrafficCounters();

    @Test
    void logsEachCountOnce() {
        counters.count(TrafficEvent.REQUEST_SERVED);
        counters.count(TrafficEvent.REQUEST_UNANSWERED);
        counters.count(TrafficEvent.REQUEST_SERVED);
        assertThat(counters.get(TrafficEvent.REQUEST_SERVED)).isEqualTo(2);
        assertThat(logged()).isEqualTo("n0: request_served=2 request_unanswered=1\n");
        assertThat(logged()).isEmpty();
        assertThat(counters.get(TrafficEvent.REQUEST_SERVED)).isZero();
    }

    /** Returns what is written to the log. */
    private String logged() {
        PrintStream standardError = System.err;
        var written = new ByteArrayOutputStream();
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            counters.logAndReset(new RateLimitedLog(), "n0:");
        } finally {
            System.setErr(standardError);
        }
        return written.toString(StandardCharsets.UTF_8);
    }
}
