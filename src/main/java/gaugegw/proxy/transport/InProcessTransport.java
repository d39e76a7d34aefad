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

/** Connects by Netty's channels inside the process. */
final class InProcessTransport implements Transport {
    /** Local addresses are the process's: the prefix keeps those of two transports apart. */
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

    /** The peers are stubs of this process, which send nothing that was not requested. */
    @Override
    public boolean hasNothingToRead(Channel channel) {
        return true;
    }
}
