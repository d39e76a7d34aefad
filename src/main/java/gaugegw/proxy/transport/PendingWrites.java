package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** What has been written to a channel and not yet to its socket, because the peer does not read. Stateless. */
public final class PendingWrites {
    private PendingWrites() {}

    /** Returns whether there are pending writes. To be called on the channel's event loop. */
    public static boolean exist(Channel channel) {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending != null && !pending.isEmpty();
    }

    /** Returns the size of the pending writes in bytes. To be called on the channel's event loop. */
    public static long bytes(Channel channel) {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? 0 : pending.totalPendingWriteBytes();
    }
}
