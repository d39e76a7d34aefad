package gaugegw.proxy.client;

import java.util.function.BooleanSupplier;

/** The steps of a graceful shutdown that change what the proxy responds to clients. Used on the event loop only. */
final class DrainState {
    private final BooleanSupplier canServe;
    private boolean notReadyReported;
    private boolean closingAfterResponses;

    /**
     * Creates the state of a proxy that is not shutting down.
     *
     * @param canServe returns whether the proxy can serve requests
     */
    DrainState(BooleanSupplier canServe) {
        this.canServe = canServe;
    }

    /** Returns whether a readiness check succeeds. */
    boolean isReady() {
        return canServe.getAsBoolean() && !notReadyReported;
    }

    /** Makes readiness checks fail from now on. */
    void reportNotReady() {
        notReadyReported = true;
    }

    /** Returns whether connections are closed after their next response. */
    boolean isClosingAfterResponses() {
        return closingAfterResponses;
    }

    /** Sets that connections are closed after their next response. */
    void closeAfterResponses() {
        closingAfterResponses = true;
    }
}
