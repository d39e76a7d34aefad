package gaugegw.proxy.memory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How much memory unfinished messages may hold. */
class MemoryBudgetTest {
    private static final long MIB = 1024 * 1024;

    /**
     * All clients that the platform connects for requests, a third of 1,024 descriptors, may each be sending a body of
     * the longest length at the same time.
     */
    @Test
    void holdsTheLongestBodiesOfAllClientsOfThePlatform() {
        MemoryBudget budget = MemoryBudget.of(48 * MIB, 48 * MIB, 192_000_000);
        assertThat(new MemoryPool("direct", budget.directBytes()).limitBytes(ShedStage.WAITING_FOR_CLIENT))
                .isGreaterThanOrEqualTo(1_024 / 3 * 64 * 1024);
    }

    /** The process must stay within its memory limit, and serve bodies even where the limit leaves little for them. */
    @ParameterizedTest
    @CsvSource({"192000000,36", "160000000,28", "128000000,14", "96000000,10", "32000000,3", "9223372036854775807,36"})
    void leavesRoomForTheRestOfTheProcess(long memoryLimitBytes, long expectedMib) {
        assertThat(MemoryBudget.of(48 * MIB, 48 * MIB, memoryLimitBytes).directBytes() / MIB)
                .isEqualTo(expectedMib);
    }

    @Test
    void servesBodiesEvenWithLittleDirectMemory() {
        assertThat(MemoryBudget.of(48 * MIB, 8 * MIB, Long.MAX_VALUE).directBytes())
                .isEqualTo(2 * MIB);
    }
}
