package gaugegw.proxy.lifecycle;

/** The exit statuses of the process, except for those of the command {@code simulate}. */
public final class ExitStatus {
    /** The proxy was drained after SIGTERM or another signal that ends the process. */
    static final int SUCCESS = 0;

    /** The event loop has ended unexpectedly. */
    static final int EVENT_LOOP_ENDED = 1;

    /** The command line names no known command. */
    public static final int USAGE = 2;

    /** The configuration is missing or invalid. */
    static final int INVALID_CONFIG = 2;

    private ExitStatus() {}
}
