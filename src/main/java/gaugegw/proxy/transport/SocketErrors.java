package gaugegw.proxy.transport;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;

/** What an error of a system call on a socket says about the connection. Stateless. */
public final class SocketErrors {
    private SocketErrors() {}

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
