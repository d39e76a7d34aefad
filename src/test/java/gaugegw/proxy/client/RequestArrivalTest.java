package gaugegw.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.transport.Clock;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The time that a request has waited unread must not count as time that its client has left. */
class RequestArrivalTest {
    private static final long SECOND_US = 1_000_000;

    private final Clock clock = new Clock();
    private final EventLoopDelayEstimator delayEstimator = new EventLoopDelayEstimator(clock);

    @BeforeEach
    void startDelayEstimator() {
        delayEstimator.start(new EmbeddedChannel().eventLoop(), failure -> {});
    }

    @Test
    void firstRequestCountsFromWhenItsConnectionMayHaveWaited() {
        long acceptedAtUs = clock.nowUs() + 10 * SECOND_US;
        var arrival = new RequestArrival(delayEstimator, acceptedAtUs, 20 * SECOND_US);
        arrival.bytesRead();
        assertThat(arrival.firstByteAtUs()).isEqualTo(acceptedAtUs - 20 * SECOND_US);
    }

    @Test
    void requestThatIsReadLaterDoesNot() {
        long acceptedAtUs = clock.nowUs() - 10 * SECOND_US;
        var arrival = new RequestArrival(delayEstimator, acceptedAtUs, 20 * SECOND_US);
        arrival.bytesRead();
        assertThat(arrival.firstByteAtUs()).isGreaterThan(acceptedAtUs);
    }
}
