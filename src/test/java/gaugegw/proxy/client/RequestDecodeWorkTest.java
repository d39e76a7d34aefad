package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.http.StrictRequestDecoder;
import gaugegw.proxy.transport.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A request that waits to be read must be given up in time for its client to get a response. */
class RequestDecodeWorkTest {
    private static final String EXPENSIVE_LINES = "a:b\r\n".repeat(300);
    private static final String END_OF_HEAD = "Transfer-Encoding: chunked\r\n\r\n";

    private final AtomicLong nowNs = new AtomicLong();
    private final Clock clock = new Clock(nowNs::get);
    private final DecodeScheduler scheduler = new DecodeScheduler(clock);
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final EventLoopDelayEstimator delayEstimator = new EventLoopDelayEstimator(clock);
    private final RequestArrival arrival = new RequestArrival(delayEstimator, clock.nowUs(), 0);
    private final RequestAggregator aggregator = new RequestAggregator(null, channel.pipeline());
    private RequestDecodeWork work;
    private int overdueRequests;

    @BeforeEach
    void setUp() {
        channel.freezeTime();
        delayEstimator.start(channel.eventLoop(), failure -> {});
        channel.pipeline().addLast(new StrictRequestDecoder(), aggregator);
        var context = new ClientContext(
                clock, null, null, null, null, null, null, 0, null, null, scheduler, null, null, null);
        work = new RequestDecodeWork(context, channel, aggregator, arrival, () -> overdueRequests++);
        // Two seconds of work, so that no turn comes meanwhile.
        scheduler.readDecoded(1_000_000, 250_000);
    }

    @AfterEach
    void tearDown() {
        aggregator.dropInput();
        channel.finishAndReleaseAll();
    }

    /** Guards against a request that is lost because its deadline passes while its last bytes are unread. */
    @Test
    void requestIsOverdueAtItsDeadline() {
        receive("X-Timeout: 300m\r\n" + EXPENSIVE_LINES + END_OF_HEAD);
        assertThat(channel.config().isAutoRead()).isFalse();
        advanceMs(291);
        assertThat(overdueRequests).isZero();
        advanceMs(2);
        assertThat(overdueRequests).isOne();
    }

    /** Guards against a request that is lost because its timeout is not known before its head has been decoded. */
    @Test
    void requestWithAnIncompleteHeadIsOverdueBeforeAResponseWouldBeLost() {
        receive("X-Timeout: 1200m\r\n" + EXPENSIVE_LINES);
        advanceMs(449);
        assertThat(overdueRequests).isZero();
        advanceMs(2);
        assertThat(overdueRequests).isOne();
    }

    @Test
    void requestThatIsReadInItsTurnIsNotOverdue() {
        receive("X-Timeout: 3000m\r\n" + EXPENSIVE_LINES + END_OF_HEAD);
        advanceMs(2_010);
        assertThat(channel.config().isAutoRead()).isTrue();
        advanceMs(2_000);
        assertThat(overdueRequests).isZero();
    }

    /** Its error is sent when the time limit of incomplete requests ends. */
    @Test
    void requestWithoutAValidTimeoutHasNoDeadline() {
        receive("X-Timeout: soon\r\n" + EXPENSIVE_LINES + END_OF_HEAD);
        advanceMs(1_900);
        assertThat(overdueRequests).isZero();
    }

    @Test
    void requestThatIsCompleteIsNeitherSuspendedNorOverdue() {
        receive("X-Timeout: 300m\r\n" + EXPENSIVE_LINES + END_OF_HEAD);
        arrival.requestCompleted();
        work.readDecoded(5);
        assertThat(channel.config().isAutoRead()).isTrue();
        advanceMs(1_900);
        assertThat(overdueRequests).isZero();
    }

    @Test
    void closedConnectionIsNotOverdue() {
        receive("X-Timeout: 300m\r\n" + EXPENSIVE_LINES + END_OF_HEAD);
        work.cancelTurn();
        advanceMs(2_100);
        assertThat(overdueRequests).isZero();
    }

    /** Receives the beginning of a request in one read. */
    private void receive(String lines) {
        arrival.bytesRead();
        ByteBuf read = Unpooled.copiedBuffer("POST /api HTTP/1.1\r\n" + lines, StandardCharsets.ISO_8859_1);
        int readBytes = read.readableBytes();
        channel.writeInbound(read);
        work.readDecoded(readBytes);
    }

    private void advanceMs(long ms) {
        nowNs.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
        channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }
}
