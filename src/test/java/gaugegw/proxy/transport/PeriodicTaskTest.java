package gaugegw.proxy.transport;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.ScriptedServer;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tasks that run for as long as the event loop does. */
class PeriodicTaskTest {
    private final EventLoop loop = new DefaultEventLoop();
    private final BlockingQueue<String> runs = new LinkedBlockingQueue<>();

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Guards against time limits that no longer apply because the task that enforces them has failed once. */
    @Test
    void runsAgainAfterAFailure() throws Exception {
        PeriodicTask.start(loop, 100, this::failingRun, failure -> runs.add(failure.getMessage()));
        for (int i = 0; i < 3; i++) {
            assertThat(ScriptedServer.awaitNext(runs)).isEqualTo("run");
            assertThat(ScriptedServer.awaitNext(runs)).isEqualTo("thrown by the test");
        }
    }

    /** Without memory, the report of a failure fails as well. */
    @Test
    void runsAgainThoughTheFailureHandlerFails() throws Exception {
        PeriodicTask.start(loop, 100, this::failingRun, failure -> {
            throw new OutOfMemoryError("thrown by the test");
        });
        for (int i = 0; i < 3; i++) {
            assertThat(ScriptedServer.awaitNext(runs)).isEqualTo("run");
        }
    }

    private void failingRun() {
        runs.add("run");
        throw new OutOfMemoryError("thrown by the test");
    }
}
