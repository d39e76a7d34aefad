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

/** The warm-up must run the code that serves requests, so that this code is loaded and compiled. */
class WarmupTest {
    @Test
    void servesSyntheticRequests() throws Exception {
        // Fewer than all requests are expected to succeed, as on a slow machine some miss their deadline.
        assertThat(Warmup.run(ProxyConfig.parse(ProxyFixture.configTree()), 60_000))
                .isGreaterThan(1_000);
    }

    /**
     * On a fraction of a CPU core, a warm-up without pauses would keep the event loop busy until its end. A thread that
     * never waits looks like one that hangs. So the warm-up must pause between its rounds, and the event loop must wait
     * in these pauses, as it does in production.
     */
    @Test
    void letsTheEventLoopWaitBetweenRounds() throws Exception {
        ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
        Set<Long> before = LongStream.of(threadBean.getAllThreadIds()).boxed().collect(Collectors.toSet());
        var run = CompletableFuture.supplyAsync(() -> {
            try {
                return Warmup.run(ProxyConfig.parse(ProxyFixture.configTree()), 60_000);
            } catch (Exception e) {
                throw new CompletionException(e);
            }
        });
        long maxWaitCount = 0;
        while (!run.isDone()) {
            for (ThreadInfo thread : threadBean.getThreadInfo(threadBean.getAllThreadIds())) {
                if (thread != null
                        && thread.getThreadName().startsWith("multiThreadIoEventLoop")
                        && !before.contains(thread.getThreadId())) {
                    maxWaitCount = Math.max(maxWaitCount, thread.getWaitedCount());
                }
            }
            Thread.sleep(1);
        }
        assertThat(run.get()).isGreaterThan(1_000);
        assertThat(maxWaitCount).isGreaterThan(20);
    }

    @Test
    void endsAtItsTimeLimit() throws Exception {
        assertThat(Warmup.run(ProxyConfig.parse(ProxyFixture.configTree()), 0)).isLessThan(1_000);
    }
}
