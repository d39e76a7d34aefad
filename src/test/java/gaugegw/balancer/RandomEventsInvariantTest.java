package gaugegw.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random legal events under random settings: endpoints come and go, attempts end in every way, clients disconnect and
 * discovery fails. Faults that need an unusual order of events would show as a broken invariant.
 */
class RandomEventsInvariantTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void invariantsHoldForRandomEvents(long seed) {
        var simulation = new RandomEventSimulation(seed);
        simulation.run();
        assertThat(simulation.finalAnswers()).isEqualTo(simulation.arrivals());
        // Without attempts the run would prove nothing; how many there are is up to the load balancer.
        assertThat(simulation.attemptsStarted()).isGreaterThan(50);
    }
}
