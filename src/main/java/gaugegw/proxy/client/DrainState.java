package gaugegw.proxy.client;

import java.util.function.BooleanSupplier;

/** How far a graceful shutdown has come, as far as it changes what clients are sent. Used on the event loop only. */
final class DrainState {
    private final BooleanSupplier canServe;
    private boolean notReady;
    private boolean closingAfterResponses;

    /** Creates the state of a proxy that is not shutting down and is ready whenever it can serve. */
    DrainState(BooleanSupplier canServe) {
        this.canServe = canServe;
    }

    /** Returns the answer to a readiness check. */
    boolean isReady() {
        return canServe.getAsBoolean() && !notReady;
    }

    void reportNotReady() {
        notReady = true;
    }

    /** Returns whether each response is the last one of its connection. */
    boolean isClosingAfterResponses() {
        return closingAfterResponses;
    }

    void closeAfterResponses() {
        closingAfterResponses = true;
    }
}
