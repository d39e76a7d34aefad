package gaugegw.proxy.transport;

import io.netty.channel.Channel;
import java.io.IOException;

/** Notified of each system call on a socket that has failed and will be made again. Called on the event loop. */
@FunctionalInterface
public interface SocketFailureListener {
    /**
     * Handles a failure.
     *
     * @param call the name of the call, such as {@code read}
     * @param channel the channel of the socket
     */
    void callFailed(String call, Channel channel, IOException failure);
}
