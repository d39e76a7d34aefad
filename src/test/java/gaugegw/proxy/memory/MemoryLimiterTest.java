package gaugegw.proxy.memory;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.logging.RateLimitedLog;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Which messages are given up when all together hold too much memory. */
class MemoryLimiterTest {
    private static final MemoryBudget BUDGET = new MemoryBudget(1_000, 1_000);

    private long nowUs = 1_000_000;
    private final MemoryLimiter limiter = new MemoryLimiter(() -> nowUs, new RateLimitedLog(), BUDGET);
    private final List<String> shed = new ArrayList<>();

    /** A connection that holds as much as the test says, all of which can be given up in one stage, or none of it. */
    private final class Holder implements MemoryHolder {
        private final String name;
        private final ShedStage stage;
        private final MemoryAccount account = limiter.open(this);

        Holder(String name, ShedStage stage) {
            this.name = name;
            this.stage = stage;
        }

        Holder holding(long heapBytes, long directBytes) {
            account.set(new MemoryUse(heapBytes, directBytes));
            return this;
        }

        @Override
        public MemoryUse sheddable(ShedStage wanted) {
            return wanted == stage ? account.use() : MemoryUse.NONE;
        }

        @Override
        public void shed(ShedStage wanted) {
            shed.add(name);
            account.set(MemoryUse.NONE);
        }

        @Override
        public String peer() {
            return name;
        }
    }

    private Holder client(String name) {
        return new Holder(name, ShedStage.WAITING_FOR_CLIENT);
    }

    private Holder inFlight(String name) {
        return new Holder(name, null);
    }

    /** Guards against giving up a request that arrives at usual speed for the sake of one that has stopped. */
    @Test
    void givesUpWhatHasStoppedForLongest() {
        client("old").holding(0, 250);
        nowUs += 100_000;
        client("young").holding(0, 250);
        nowUs += 100_000;
        client("new").holding(0, 251);
        assertThat(shed).containsExactly("old");
        assertThat(limiter.use()).isEqualTo(new MemoryUse(0, 501));
    }

    /** Guards against giving up many small requests where one large one would do. */
    @Test
    void givesUpLargeMessagesBeforeSmallOnes() {
        client("small").holding(0, 10);
        client("large").holding(0, 700);
        nowUs += 100_000;
        client("new").holding(0, 41);
        assertThat(shed).containsExactly("large");
    }

    /** Guards against a sum that is unbounded because each single message is short. */
    @Test
    void boundsTheSumWhateverTheNumberOfClients() {
        for (int i = 0; i < 10_000; i++) {
            client("client" + i).holding(3, 7);
            nowUs++;
            assertThat(limiter.use().heapBytes()).isLessThanOrEqualTo(750);
            assertThat(limiter.use().directBytes()).isLessThanOrEqualTo(750);
        }
    }

    /** The heap and direct memory have limits of their own: bodies must not be given up because of long heads. */
    @Test
    void givesUpOnlyWhatHoldsTheExceededKindOfMemory() {
        client("body").holding(0, 700);
        nowUs += 100_000;
        IntStream.range(0, 8).forEach(i -> client("head" + i).holding(100, 0));
        assertThat(shed).doesNotContain("body").isNotEmpty();
    }

    /** Guards against accepting requests whose responses could then not be received. */
    @Test
    void admitsNoRequestBeyondThePartThatIsKeptForResponses() {
        inFlight("a").holding(0, 750);
        assertThat(limiter.canAdmit()).isTrue();
        Holder second = inFlight("b").holding(0, 1);
        assertThat(limiter.canAdmit()).isFalse();
        assertThat(shed).isEmpty();
        second.account.close();
        assertThat(limiter.canAdmit()).isTrue();
    }

    /** A response that is being received may use the whole budget, but no more than that. */
    @Test
    void givesUpIncompleteResponsesOnlyAtTheWholeBudget() {
        inFlight("request").holding(0, 700);
        Holder response = new Holder("response", ShedStage.WAITING_FOR_BACKEND).holding(0, 300);
        assertThat(shed).isEmpty();
        response.holding(0, 301);
        assertThat(shed).containsExactly("response");
    }

    /** Guards against memory that stays reserved for a connection that no longer exists. */
    @Test
    void closedAccountHoldsNothing() {
        Holder closed = client("closed").holding(300, 300);
        closed.account.close();
        closed.holding(300, 300);
        assertThat(limiter.use()).isEqualTo(MemoryUse.NONE);
    }
}
