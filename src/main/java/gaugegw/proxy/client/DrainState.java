package gaugegw.proxy.client;

import java.util.function.BooleanSupplier;

/** The steps of a graceful shutdown that change what the proxy responds to clients. Used on the event loop only. */
final class DrainState {
    private final BooleanSupplier canServe;
    private boolean notReadyReported;
    private boolean closingAfterResponses;

    /** Creates the state of a proxy that is not shutting down and is ready whenever it can serve. */
    DrainState(BooleanSupplier canServe) {
        this.canServe = canServe;
    }

    /** Returns whether a readiness check succeeds. */
    boolean isReady() {
        return canServe.getAsBoolean() && !notReadyReported;
    }

    void reportNotReady() {
        notReadyReported = true;
    }

    /** Returns whether connections are closed after their next response. */
    boolean isClosingAfterResponses() {
        return closingAfterResponses;
    }

    void closeAfterResponses() {
        closingAfterResponses = true;
    }
}
