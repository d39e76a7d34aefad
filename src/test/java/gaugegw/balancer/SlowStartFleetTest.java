package gaugegw.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests slow start with a whole fleet of proxies while endpoints restart under load. Each proxy has its own slow start
 * budget and does not know how much the others send, so together they could overload an endpoint or leave it idle.
 */
class SlowStartFleetTest {
    @ParameterizedTest
    @CsvSource({
        "1, 1, 0.5, false",
        "3, 2, 0.5, false",
        "30, 3, 0.5, false",
        "30, 4, 0.5, true",
        "30, 5, 0.05, false",
        "30, 6, 0.05, true",
        "30, 7, 0.05, false",
        "100, 10, 0.05, false",
        "100, 11, 0.02, true",
        "400, 8, 0.05, false",
        "400, 9, 0.5, true"
    })
    void fleetStaysWithinTheSlowStartBudgetAndUsesAtLeastATenthOfIt(
            int proxies, long seed, double loadBeforeBurst, boolean listChangesEachSecond) {
        var fleet = new SlowStartFleetSimulation(proxies, seed, loadBeforeBurst, listChangesEachSecond);
        fleet.run();
        assertThat(fleet.maxBoundUtilization())
                .as("most attempts in a window, as a fraction of the bound")
                .isLessThanOrEqualTo(1);
        assertThat(fleet.meanBudgetUtilization())
                .as("attempts during the burst, as a fraction of the budget")
                .isBetween(0.1, 1.0);
    }
}
