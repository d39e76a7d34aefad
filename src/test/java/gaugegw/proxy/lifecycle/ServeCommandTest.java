package gaugegw.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.discovery.EndpointWatcher;
import org.junit.jupiter.api.Test;

/** The times of a start. */
class ServeCommandTest {
    /**
     * A proxy restarts whose endpoint list has never changed. It looks like one that starts for the first time,
     * and is warmed up like that one. It has to be ready in time all the same: runtime, warm-up and the first call to
     * discovery together take no longer than a restart may.
     */
    @Test
    void warmUpLeavesTimeForTheOtherStepsOfAStart() {
        long readyMs = ServeCommand.RUNTIME_START_MS
                + ServeCommand.WARMUP_LIMIT_MS
                + EndpointWatcher.FIRST_SERVICE_CALL_TIMEOUT_MS;
        assertThat(readyMs).isLessThanOrEqualTo(6_000);
        assertThat(ServeCommand.WARMUP_LIMIT_MS).isPositive();
    }
}
