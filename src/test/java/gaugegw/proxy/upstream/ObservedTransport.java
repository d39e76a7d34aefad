package gaugegw.proxy.upstream;

import gaugegw.proxy.testing.DelegatingTransport;
import gaugegw.proxy.transport.Transport;
import io.netty.channel.Channel;
import java.util.function.Consumer;

/** A transport over sockets that shows a test each idle connection immediately before it is reused. */
final class ObservedTransport extends DelegatingTransport {
    private final Consumer<Channel> beforeReuse;

    /**
     * Creates a transport with its own event loop.
     *
     * @param beforeReuse called on the event loop
     */
    ObservedTransport(Consumer<Channel> beforeReuse) {
        super(Transport.sockets());
        this.beforeReuse = beforeReuse;
    }

    @Override
    public boolean hasNothingToRead(Channel channel) {
        beforeReuse.accept(channel);
        return super.hasNothingToRead(channel);
    }
}
