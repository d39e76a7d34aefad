package gaugegw.proxy.testing;

import gaugegw.proxy.transport.SocketFailureListener;
import gaugegw.proxy.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** A transport that passes each call to another one; a test overrides what it observes or replaces. */
public class DelegatingTransport implements Transport {
    private final Transport delegate;

    protected DelegatingTransport(Transport delegate) {
        this.delegate = delegate;
    }

    @Override
    public void setSocketFailureListener(SocketFailureListener listener) {
        delegate.setSocketFailureListener(listener);
    }

    @Override
    public EventLoop loop() {
        return delegate.loop();
    }

    @Override
    public ServerBootstrap serverBootstrap() {
        return delegate.serverBootstrap();
    }

    @Override
    public Bootstrap clientBootstrap() {
        return delegate.clientBootstrap();
    }

    @Override
    public SocketAddress toSocketAddress(InetSocketAddress address) {
        return delegate.toSocketAddress(address);
    }

    @Override
    public boolean hasNothingToRead(Channel channel) {
        return delegate.hasNothingToRead(channel);
    }

    @Override
    public void acknowledgeReceived(Channel channel) {
        delegate.acknowledgeReceived(channel);
    }
}
