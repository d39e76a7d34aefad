package gaugegw.proxy.discovery;

import io.netty.handler.codec.http.HttpResponseStatus;

/** The reason why a call to discovery has brought no list that can be applied. */
sealed interface DiscoveryFailure {
    /** Returns the reason as a text for the log. */
    String description();

    /** The connection could not be established, or no socket could be created for it. */
    record ConnectFailed() implements DiscoveryFailure {
        @Override
        public String description() {
            return "no connection could be established";
        }
    }

    /** The response did not begin in time, or a response that had begun was not complete in time. */
    record TimedOut() implements DiscoveryFailure {
        @Override
        public String description() {
            return "no complete response in time";
        }
    }

    /** The connection was closed before the response was complete. */
    record ConnectionClosed() implements DiscoveryFailure {
        @Override
        public String description() {
            return "the connection was closed before the response was complete";
        }
    }

    /** Discovery responded with a status other than 200, or with something that is not HTTP. */
    record UnexpectedResponse(HttpResponseStatus status) implements DiscoveryFailure {
        @Override
        public String description() {
            return "unexpected response with status " + status;
        }
    }

    /** The body of the response is not an endpoint list. */
    record MalformedList(String problem) implements DiscoveryFailure {
        @Override
        public String description() {
            return problem;
        }
    }

    /** An exception was thrown while the connection was used. */
    record ChannelFailed(Throwable cause) implements DiscoveryFailure {
        @Override
        public String description() {
            return "exception on the connection: " + cause;
        }
    }

    /**
     * Discovery sent a delta that can't be applied to the proxy's list: its version is below that of the list, as after
     * a restart of discovery, or the proxy had asked for the complete list.
     */
    record InapplicableDelta(long version) implements DiscoveryFailure {
        @Override
        public String description() {
            return "the delta to version " + version
                    + " does not apply to this proxy's list, fetching the complete list next";
        }
    }
}
