package gaugegw.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.config.ProxyConfig;
import gaugegw.proxy.testing.ProxyFixture;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The warm-up runs the code that serves a request, or it would compile nothing of use. */
class WarmupTest {
    @Test
    void servesItsRequests() throws Exception {
        // Not all of them: on a slow machine some miss their deadline.
        assertThat(Warmup.run(ProxyConfig.parse(ProxyFixture.configTree()), 60_000))
                .isGreaterThan(1_000);
    }

    /**
     * The event loop has work without end, on a share of a core. A thread that never waits looks like one that hangs. So
     * the warm-up pauses between its rounds, and the loop waits as it does in service.
     */
    @Test
    void letsTheEventLoopWaitBetweenRounds() throws Exception {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Set<Long> before = LongStream.of(threads.getAllThreadIds()).boxed().collect(Collectors.toSet());
        var run = CompletableFuture.supplyAsync(() -> {
            try {
                return Warmup.run(ProxyConfig.parse(ProxyFixture.configTree()), 60_000);
            } catch (Exception e) {
                throw new CompletionException(e);
            }
        });
        long waits = 0;
        while (!run.isDone()) {
            for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
                if (thread != null
                        && thread.getThreadName().startsWith("multiThreadIoEventLoop")
                        && !before.contains(thread.getThreadId())) {
                    waits = Math.max(waits, thread.getWaitedCount());
                }
            }
            Thread.sleep(1);
        }
        assertThat(run.get()).isGreaterThan(1_000);
        assertThat(waits).isGreaterThan(20);
    }

    @Test
    void endsAtItsTimeLimit() throws Exception {
        assertThat(Warmup.run(ProxyConfig.parse(ProxyFixture.configTree()), 0)).isLessThan(1_000);
    }
}
