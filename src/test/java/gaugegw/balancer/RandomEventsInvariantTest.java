package gaugegw.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks invariants of the load balancer with random valid events and random settings: endpoints are added and removed,
 * attempts succeed, fail and are cancelled, clients disconnect, and calls to discovery fail. This finds faults that
 * occur only with an unusual order of events.
 */
class RandomEventsInvariantTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void invariantsHoldForRandomEvents(long seed) {
        var simulation = new RandomEventSimulation(seed);
        simulation.run();
        assertThat(simulation.finalAnswers()).isEqualTo(simulation.requestCount());
        // A run with hardly any attempts would not test the invariants.
        assertThat(simulation.attemptsStarted()).isGreaterThan(50);
    }
}
