package gaugegw.proxy.transport;

import io.netty.channel.ChannelException;
import java.io.IOException;
import java.net.BindException;
import java.nio.channels.ClosedChannelException;

/** What an error of a system call on a socket says about the connection. Stateless. */
public final class SocketErrors {
    private SocketErrors() {}

    /**
     * Returns whether a connect failed for lack of something on this machine, so that it says nothing about the peer: no
     * descriptor (EMFILE, ENFILE) or memory for a socket, or no free local address or port (EADDRNOTAVAIL).
     */
    public static boolean isLocalShortage(Throwable error) {
        // Netty wraps the error of a connect, and throws a ChannelException only where it could not open a socket.
        return error.getCause() instanceof BindException || error instanceof ChannelException;
    }

    /**
     * Returns whether an error says that the peer has closed or reset the connection, or that this side has closed it.
     * The Java runtime reports EPIPE and ECONNRESET by the C library's text only, which is in English unless the
     * process has another locale for messages.
     */
    public static boolean isDisconnect(Throwable error) {
        if (error instanceof ClosedChannelException) {
            return true;
        }
        String message = error.getMessage();
        return error instanceof IOException
                && message != null
                && (message.startsWith("Connection reset") || message.equals("Broken pipe"));
    }
}
