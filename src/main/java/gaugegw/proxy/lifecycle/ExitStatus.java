package gaugegw.proxy.lifecycle;

/** The exit statuses of the process. */
public final class ExitStatus {
    /** The proxy was drained after a signal to terminate. */
    static final int SUCCESS = 0;

    /** The command line names no known command. */
    public static final int USAGE = 2;

    /** The configuration is missing or invalid. */
    static final int INVALID_CONFIG = 2;

    private ExitStatus() {}
}
