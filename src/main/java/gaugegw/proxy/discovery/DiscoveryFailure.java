package gaugegw.proxy.discovery;

import io.netty.handler.codec.http.HttpResponseStatus;

/** The reason why a call to discovery did not return a list that can be applied. */
sealed interface DiscoveryFailure {
    /** Returns the reason in words, for the log. */
    String description();

    /** The connection could not be established, or no socket could be created for it. */
    record ConnectFailed() implements DiscoveryFailure {
        @Override
        public String description() {
            return "no connection could be established"
                    + " (refused, unreachable, timed out, or no file descriptor available)";
        }
    }

    /**
     * The timeout expired before the connection was established, before the response began, or before the response was
     * complete.
     */
    record TimedOut() implements DiscoveryFailure {
        @Override
        public String description() {
            return "timed out before a complete response arrived";
        }
    }

    /** The connection was closed before the response was complete. */
    record ConnectionClosed() implements DiscoveryFailure {
        @Override
        public String description() {
            return "the connection was closed before the response was complete";
        }
    }

    /**
     * Discovery responded with a status other than 200 or with malformed HTTP. If the status line itself is malformed,
     * Netty reports the status 999.
     */
    record UnexpectedResponse(HttpResponseStatus status) implements DiscoveryFailure {
        @Override
        public String description() {
            return "expected a valid HTTP response with status 200, found one that is malformed or has another status: "
                    + status;
        }
    }

    /** The body of the response is not an endpoint list. */
    record MalformedList(String problem) implements DiscoveryFailure {
        @Override
        public String description() {
            return problem;
        }
    }

    /** Netty reported an exception on the connection, for example a reset or a response that is too long. */
    record ChannelFailed(Throwable cause) implements DiscoveryFailure {
        @Override
        public String description() {
            return "exception on the connection: " + cause;
        }
    }

    /**
     * Discovery sent a delta that can't be applied to the proxy's list: its version is below that of the list, for
     * example after a restart of discovery, or the proxy had asked for the complete list.
     */
    record InapplicableDelta(long version) implements DiscoveryFailure {
        @Override
        public String description() {
            return "the response is a delta to version " + version
                    + ", which can't be applied to this proxy's list (the next call asks for the complete list)";
        }
    }
}
