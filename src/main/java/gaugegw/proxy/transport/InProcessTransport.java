package gaugegw.proxy.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.UUID;

/** A transport over Netty's local channels, which connect within the process. */
final class InProcessTransport implements Transport {
    /** Distinguishes the addresses of this transport: Netty's local addresses are shared by the whole process. */
    private final String addressPrefix = UUID.randomUUID().toString();

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory()).next();
    private final ServerBootstrap server = new ServerBootstrap().group(loop).channel(LocalServerChannel.class);
    private final Bootstrap client = new Bootstrap().group(loop).channel(LocalChannel.class);

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public ServerBootstrap serverBootstrap() {
        return server;
    }

    @Override
    public Bootstrap clientBootstrap() {
        return client;
    }

    @Override
    public SocketAddress toSocketAddress(InetSocketAddress address) {
        return new LocalAddress(addressPrefix + address);
    }

    /** Returns true: the other ends are stubs in this process, which never send more than the responses. */
    @Override
    public boolean hasNothingToRead(Channel channel) {
        return true;
    }
}
