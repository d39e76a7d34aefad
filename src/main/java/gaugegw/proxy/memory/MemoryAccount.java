package gaugegw.proxy.memory;

/**
 * What the unfinished messages of one connection hold. The connection sets the amount after each change, and closes the
 * account when it is closed itself. Used on the event loop only.
 */
public final class MemoryAccount {
    private final MemoryLimiter limiter;
    private final MemoryHolder holder;
    private MemoryUse use = MemoryUse.NONE;
    private boolean closed;
    /** When the amount changed last, on the proxy's clock in microseconds. */
    private long changedAtUs;

    MemoryAccount(MemoryLimiter limiter, MemoryHolder holder, long nowUs) {
        this.limiter = limiter;
        this.holder = holder;
        this.changedAtUs = nowUs;
    }

    /**
     * Sets how much memory the connection's unfinished messages hold. If all connections together then hold more than
     * the budget, some are made to give up messages before this returns; this connection may be one of them. Has no
     * effect on a closed account.
     */
    public void set(MemoryUse newUse) {
        if (!closed && !newUse.equals(use)) {
            MemoryUse oldUse = use;
            use = newUse;
            limiter.changed(this, oldUse, newUse);
        }
    }

    /** Returns the amount that was set last. */
    public MemoryUse use() {
        return use;
    }

    /** Sets the amount to zero and ends the account. */
    public void close() {
        set(MemoryUse.NONE);
        closed = true;
        limiter.remove(this);
    }

    MemoryHolder holder() {
        return holder;
    }

    long changedAtUs() {
        return changedAtUs;
    }

    void setChangedAtUs(long nowUs) {
        changedAtUs = nowUs;
    }
}
