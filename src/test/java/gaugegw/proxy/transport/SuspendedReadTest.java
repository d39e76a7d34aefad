package gaugegw.proxy.transport;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.proxy.testing.RawConnection;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A connection whose reading is suspended must stay unread until it is resumed. */
class SuspendedReadTest {
    /** After the read of a channel that the selector has not reported, which comes 100 ms after the resumption. */
    private static final long AFTER_UNREPORTED_READ_MS = 150;

    private final Transport transport = Transport.sockets();
    private final BlockingQueue<Channel> accepted = new LinkedBlockingQueue<>();
    private final BlockingQueue<Integer> receivedBytes = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        transport.loop().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /**
     * Guards against expensive requests that are decoded out of turn: each resumption schedules a read of its own, which
     * came even if reading had been suspended again.
     */
    @Test
    void connectionThatIsSuspendedAgainIsNotRead() throws Exception {
        Channel listening = transport
                .serverBootstrap()
                .clone()
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.config().setAutoRead(false);
                        channel.pipeline().addLast(new ReceivedBytes());
                        accepted.add(channel);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        try (RawConnection client = RawConnection.connectTo((InetSocketAddress) listening.localAddress())) {
            Channel channel = accepted.poll(10, TimeUnit.SECONDS);
            transport.loop().submit(() -> resumeAndSuspend(channel)).sync();
            client.send("x");
            transport
                    .loop()
                    .schedule(() -> {}, AFTER_UNREPORTED_READ_MS, TimeUnit.MILLISECONDS)
                    .sync();
            assertThat(receivedBytes).isEmpty();

            transport.loop().submit(() -> channel.config().setAutoRead(true)).sync();
            assertThat(receivedBytes.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
        } finally {
            listening.close().sync();
        }
    }

    private static void resumeAndSuspend(Channel channel) {
        channel.config().setAutoRead(true);
        channel.config().setAutoRead(false);
    }

    private final class ReceivedBytes extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            receivedBytes.add(bytes.readableBytes());
        }
    }
}
