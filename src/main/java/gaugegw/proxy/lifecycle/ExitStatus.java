package gaugegw.proxy.lifecycle;

/** The exit statuses of the process. */
public final class ExitStatus {
    /** The process was terminated by a signal, after a drain. */
    static final int SUCCESS = 0;

    /** There is no such command. */
    public static final int USAGE = 2;

    /** The configuration can't be used. */
    static final int INVALID_CONFIG = 2;

    private ExitStatus() {}
}
