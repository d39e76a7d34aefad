package gaugegw.proxy.upstream;

import gaugegw.proxy.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.function.Consumer;

/** A transport over sockets that shows a test each idle connection immediately before it is reused. */
final class ObservedTransport implements Transport {
    private final Transport sockets = Transport.sockets();
    private final Consumer<Channel> beforeReuse;

    /**
     * Creates a transport with its own event loop.
     *
     * @param beforeReuse called on the event loop
     */
    ObservedTransport(Consumer<Channel> beforeReuse) {
        this.beforeReuse = beforeReuse;
    }

    @Override
    public EventLoop loop() {
        return sockets.loop();
    }

    @Override
    public ServerBootstrap serverBootstrap() {
        return sockets.serverBootstrap();
    }

    @Override
    public Bootstrap clientBootstrap() {
        return sockets.clientBootstrap();
    }

    @Override
    public SocketAddress toSocketAddress(InetSocketAddress address) {
        return sockets.toSocketAddress(address);
    }

    @Override
    public boolean hasNothingToRead(Channel channel) {
        beforeReuse.accept(channel);
        return sockets.hasNothingToRead(channel);
    }

    @Override
    public void acknowledgeReceived(Channel channel) {
        sockets.acknowledgeReceived(channel);
    }
}
