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

/** The warm-up goes through all that a request goes through, or it warms nothing. */
class WarmupTest {
    @Test
    void servesWhatItAsks() throws Exception {
        // Not all: on a slow machine some are late.
        assertThat(Warmup.run(ProxyConfig.parse(ProxyFixture.config()), 60_000)).isGreaterThan(1_000);
    }

    /** A thread that never waits looks like one that hangs; where the CPU is scarce, so it does for long. */
    @Test
    void waitsNowAndThen() throws Exception {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Set<Long> before = LongStream.of(threads.getAllThreadIds()).boxed().collect(Collectors.toSet());
        var run = CompletableFuture.supplyAsync(() -> {
            try {
                return Warmup.run(ProxyConfig.parse(ProxyFixture.config()), 60_000);
            } catch (Exception e) {
                throw new CompletionException(e);
            }
        });
        long waited = 0;
        while (!run.isDone()) {
            for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
                if (thread != null
                        && thread.getThreadName().startsWith("multiThreadIoEventLoop")
                        && !before.contains(thread.getThreadId())) {
                    waited = Math.max(waited, thread.getWaitedCount());
                }
            }
            Thread.sleep(1);
        }
        assertThat(run.get()).isGreaterThan(1_000);
        assertThat(waited).isGreaterThan(20);
    }

    @Test
    void endsWhenItsTimeIsUp() throws Exception {
        assertThat(Warmup.run(ProxyConfig.parse(ProxyFixture.config()), 0)).isLessThan(1_000);
    }
}
