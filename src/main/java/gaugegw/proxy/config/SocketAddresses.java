package gaugegw.proxy.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Parses addresses such as {@code 10.0.0.4:8080}. */
public final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Parses a numeric IP address and a port, separated by the last colon. Returns empty for anything else, including a
     * host name: there is no DNS, and a lookup would block the event loop.
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return Optional.empty();
        }
        byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > MAX_PORT
                    ? Optional.empty()
                    : Optional.of(new InetSocketAddress(InetAddress.getByAddress(host), port));
        } catch (NumberFormatException | UnknownHostException e) {
            return Optional.empty();
        }
    }
}
