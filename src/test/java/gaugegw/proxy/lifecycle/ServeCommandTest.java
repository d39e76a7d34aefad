package gaugegw.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.discovery.EndpointWatcher;
import org.junit.jupiter.api.Test;

/** The time limits of a start. */
class ServeCommandTest {
    /**
     * A proxy restarts with an endpoint list that has never changed. It can't tell this from its first start, so it
     * runs the warm-up. The start of the runtime, the warm-up and the first call to discovery must together fit into
     * the 6 s in which a restarted proxy must be ready.
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
