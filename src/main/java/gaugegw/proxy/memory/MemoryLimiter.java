package gaugegw.proxy.memory;

import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.logging.SampledLog;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Keeps the memory that the unfinished messages of all connections hold within a {@link MemoryBudget}. Without it,
 * enough clients that stop in the middle of a request would use up the memory of the process, and no other client could
 * be served.
 *
 * <p>When the budget is exceeded, connections give up messages, those first that have held the most memory for the
 * longest time without any progress. A request of usual size that arrives at usual speed is therefore served. What is
 * being executed by a backend is not given up, unless its client does not read the responses before; such requests are
 * admitted only while {@link #canAdmit}. So the budget is exceeded by no more than what a connection has received in one
 * read.
 *
 * <p>Used on the event loop only.
 */
public final class MemoryLimiter {
    /** Counts as the time without progress of a message that has just made some, in microseconds. */
    private static final long MIN_STALLED_US = 1_000;

    private final LongSupplier clock;
    private final SampledLog log;
    private final MemoryPool heap;
    private final MemoryPool direct;
    private final Set<MemoryAccount> accounts = new LinkedHashSet<>();
    /** Whether messages are being given up; that changes accounts, which must not start it again. */
    private boolean shedding;
    /**
     * Creates a limiter without accounts.
     *
     * @param clock the proxy's clock, in microseconds
     */
    public MemoryLimiter(LongSupplier clock, RateLimitedLog log, MemoryBudget budget) {
        this.clock = clock;
        this.log = new SampledLog(clock, log);
        heap = new MemoryPool("heap", budget.heapBytes());
        direct = new MemoryPool("direct", budget.directBytes());
    }

    /** Opens the account of a connection, which must close it. */
    public MemoryAccount open(MemoryHolder holder) {
        var account = new MemoryAccount(this, holder, clock.getAsLong());
        accounts.add(account);
        return account;
    }

    /** Returns whether a complete request may be dispatched; if not, it must be rejected. */
    public boolean canAdmit() {
        return !heap.isExceeded(ShedStage.WAITING_FOR_CLIENT) && !direct.isExceeded(ShedStage.WAITING_FOR_CLIENT);
    }

    /** Returns how much memory the unfinished messages of all connections hold. */
    public MemoryUse use() {
        return new MemoryUse(heap.usedBytes(), direct.usedBytes());
    }

    /** Returns the number of open accounts. */
    public int accountCount() {
        return accounts.size();
    }

    void changed(MemoryAccount account, MemoryUse oldUse, MemoryUse newUse) {
        account.setChangedAtUs(clock.getAsLong());
        heap.add(newUse.heapBytes() - oldUse.heapBytes());
        direct.add(newUse.directBytes() - oldUse.directBytes());
        if (!shedding && !canAdmit()) {
            shedding = true;
            try {
                shedAll();
            } finally {
                shedding = false;
            }
        }
    }

    void remove(MemoryAccount account) {
        accounts.remove(account);
    }

    private void shedAll() {
        for (ShedStage stage : ShedStage.values()) {
            shed(heap, stage);
            shed(direct, stage);
        }
    }

    /** Makes connections give up the messages of a stage, if a pool is exceeded, until enough of it is free. */
    private void shed(MemoryPool pool, ShedStage stage) {
        if (!pool.isExceeded(stage)) {
            return;
        }
        for (Candidate candidate : candidates(pool, stage)) {
            if (pool.usedBytes() <= pool.targetBytes(stage)) {
                return;
            }
            logShed(pool, stage, candidate);
            candidate.account().holder().shed(stage);
        }
    }

    /** Returns the connections with messages of a stage; the costliest first. */
    private List<Candidate> candidates(MemoryPool pool, ShedStage stage) {
        long nowUs = clock.getAsLong();
        var candidates = new ArrayList<Candidate>();
        for (MemoryAccount account : accounts) {
            MemoryUse sheddable = account.holder().sheddable(stage);
            long bytes = pool == heap ? sheddable.heapBytes() : sheddable.directBytes();
            if (bytes > 0) {
                long stalledUs = Math.max(MIN_STALLED_US, nowUs - account.changedAtUs());
                candidates.add(new Candidate(account, bytes, stalledUs));
            }
        }
        candidates.sort(Comparator.comparingDouble(Candidate::cost).reversed());
        return candidates;
    }

    private void logShed(MemoryPool pool, ShedStage stage, Candidate candidate) {
        log.event(() -> "unfinished messages hold " + pool.usedBytes() + " bytes of " + pool.name()
                + " memory, the limit is " + pool.limitBytes(stage) + ": giving up " + describe(stage) + " of "
                + candidate.account().holder().peer() + ", which holds " + candidate.bytes()
                + " bytes and has made no progress for " + candidate.stalledUs() / 1_000 + " ms");
    }

    private static String describe(ShedStage stage) {
        return switch (stage) {
            case WAITING_FOR_CLIENT -> "the incomplete requests and unread responses";
            case WAITING_FOR_BACKEND -> "the incomplete response";
        };
    }

    /**
     * A connection that can free memory.
     *
     * @param bytes how much it can free
     * @param stalledUs how long its unfinished messages have made no progress, in microseconds
     */
    private record Candidate(MemoryAccount account, long bytes, long stalledUs) {
        double cost() {
            return (double) bytes * stalledUs;
        }
    }
}
