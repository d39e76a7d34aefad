package gaugegw.proxy.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What happens in one run. All times are in milliseconds; those of the phases count from when the proxy is ready.
 *
 * @param seed the seed that the scenario was drawn from
 * @param rules the system calls that fail; see {@code failing_socket_calls.c}
 * @param longestDeadlineMs the deadline of the class that must not be executed twice
 * @param faultsFromMs when calls begin to fail
 * @param faultsUntilMs when calls no longer fail
 * @param reloadsAtMs when SIGHUP is sent, each time with the other address of discovery
 * @param pausesAtMs when the process is stopped for {@link #PAUSE_MS}
 * @param terminateAtMs when SIGTERM is sent, and again shortly after
 * @param silentClients the number of clients that connect, send nothing and stay
 * @param localAgent whether discovery is an agent that pushes updates
 * @param discoverySilent whether discovery does not answer during the faults
 * @param hangingShare the share of attempts that a backend never answers, during the faults
 * @param rejectedShare the share of attempts that a backend rejects before it executes them, during the faults
 * @param leavingShare the share of requests whose client closes its connection early
 */
record SoakScenario(
        long seed,
        String rules,
        long longestDeadlineMs,
        long faultsFromMs,
        long faultsUntilMs,
        List<Long> reloadsAtMs,
        List<Long> pausesAtMs,
        long terminateAtMs,
        int silentClients,
        boolean localAgent,
        boolean discoverySilent,
        double hangingShare,
        double rejectedShare,
        double leavingShare) {
    /** A proxy may be held up for 150 ms at any moment; some of that is spent on the signals. */
    static final long PAUSE_MS = 130;

    private static final long RUN_MS = 4_500;
    /** Each fails without an effect; a later call of the same kind may succeed. */
    private static final List<String> FAILURES = List.of(
            "write/client:ENOBUFS:40",
            "write/client:ENOMEM:60:5",
            "write/client:EHOSTUNREACH:50",
            "write/client:SHORT:4",
            "write/client:EINTR:20",
            "read/client:ENOBUFS:40",
            "read/client:EINTR:30",
            "read/client:ETIMEDOUT:80",
            "read/client:SHORT:5",
            "write/other:ENOBUFS:40",
            "write/other:ENETUNREACH:60:3",
            "read/other:EINTR:30",
            "read/other:ENOBUFS:40",
            "read/other:SHORT:5",
            "end/client:ETIMEDOUT:3",
            "end/other:ETIMEDOUT:3",
            "connect:EADDRNOTAVAIL:4",
            "connect:ENETUNREACH:4",
            "socket:ENFILE:4",
            "accept:ECONNABORTED:4",
            "accept:ENFILE:4",
            "accept:ENOBUFS:3:3",
            "poll:EINTR:4",
            "epoll_wait:EINTR:20",
            "epoll_ctl/client:ENOMEM:10",
            "epoll_ctl/other:ENOSPC:10");

    static SoakScenario of(long seed) {
        var random = new SplittableRandom(seed);
        var rules = new ArrayList<String>();
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            rules.add(FAILURES.get(random.nextInt(FAILURES.size())));
        }
        long faultsFromMs = random.nextInt(1_000);
        var reloadsAtMs = new ArrayList<Long>();
        int reloads = random.nextInt(4);
        long reloadMs = 1_100 + random.nextLong(1_500);
        for (int i = 0; i < reloads; i++) {
            reloadsAtMs.add(reloadMs);
            reloadMs += random.nextInt(300);
        }
        boolean faultsLast = random.nextBoolean();
        return new SoakScenario(
                seed,
                String.join(",", rules),
                List.of(499L, 737L, 1_200L, 3_000L).get(random.nextInt(4)),
                faultsFromMs,
                faultsLast ? Long.MAX_VALUE : faultsFromMs + 2_000,
                List.copyOf(reloadsAtMs),
                random.nextInt(3) == 0 ? random.longs(3, 0, RUN_MS).boxed().toList() : List.of(),
                RUN_MS - random.nextLong(1_000),
                random.nextInt(4) == 0 ? 560 : 0,
                random.nextBoolean(),
                random.nextInt(3) == 0,
                random.nextInt(3) == 0 ? 0.03 : 0,
                random.nextInt(3) == 0 ? 0.1 : 0,
                random.nextInt(2) == 0 ? 0.05 : 0);
    }

    /** Returns how long after SIGTERM the process may be killed: the longest deadline, at most 3 s, and 700 ms. */
    long killDelayMs() {
        return Math.min(3_000, longestDeadlineMs) + 700;
    }
}
