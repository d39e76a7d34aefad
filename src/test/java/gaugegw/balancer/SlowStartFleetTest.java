package gaugegw.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Endpoints restart under load while a whole fleet sends to them. Each proxy keeps a slow start budget of its own and
 * does not know what the others send: together they may overload the endpoint, or leave it idle.
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
    void fleetStaysWithinTheSlowStartBudgetAndUsesAFairPart(
            int proxies, long seed, double loadBeforeBurst, boolean listChangesEachSecond) {
        var fleet = new SlowStartFleet(proxies, seed, loadBeforeBurst, listChangesEachSecond);
        fleet.run();
        assertThat(fleet.worstBoundUse())
                .as("most in a window, as a part of the bound")
                .isLessThanOrEqualTo(1);
        assertThat(fleet.meanBudgetUse())
                .as("sent during the burst, as a part of the budget")
                .isBetween(0.1, 1.0);
    }
}
