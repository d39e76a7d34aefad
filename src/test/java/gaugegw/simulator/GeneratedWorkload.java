package gaugegw.simulator;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/**
 * A closed-loop workload in wire text: a small model of clients, backends and discovery that writes batches of events
 * and reacts to the replies. It knows the wire alone and no type of the decision module. All randomness comes from one
 * seeded generator and nothing iterates over an unordered collection, so equal replies lead to equal events.
 */
final class GeneratedWorkload {

    private static final long ANSWER_SLACK_US = 20_000;
    private static final long CONNECT_TIMEOUT_US = 150_000;
    private static final long COLD_US = 9_000_000;
    private static final double COLD_FROM = 0.33;
    private static final int MOST_TRIES = 4;
    private static final String[] ZONES = {"north", "south", "west"};
    private static final String[] MACHINES = {"small", "large", "odd"};
    private static final double[] MACHINE_SPEED = {1, 2, 0.5};
    private static final String[] TENANTS = {"school", "press"};

    /** One scenario: the number of proxies in the tier, the registry mode, and a variant of the other settings. */
    record Scenario(int balancers, boolean pushed, int variant) {
        String name() {
            return balancers + "-" + (pushed ? "pushed" : "on_request") + "-" + variant;
        }

        private long seed() {
            return 1_000_003L * balancers + 101L * variant + (pushed ? 1 : 0);
        }

        /** The variant with a backend that fails for most of it plays longer: the longest backoffs follow each other. */
        private long durationUs() {
            return variant == 2 ? 100_000_000 : 66_000_000;
        }

        private long quantumUs() {
            return variant == 3 && !pushed ? 80_000 : 5_000;
        }

        /** Whether all batches lie on a grid of times, so that what takes equally long ends at the same moment. */
        private boolean onGrid() {
            return variant != 2;
        }

        /** A short window makes it matter whether a repeat can still begin in time. */
        private long windowUs() {
            return variant == 2 ? 1_500_000 : 400_000;
        }

        private int fleet() {
            return switch (balancers) {
                case 1, 3 -> 5;
                case 30 -> 12;
                default -> 40;
            };
        }

        /** Mean time between arrivals at load 1: few of the requests that hundreds of proxies get come to these. */
        private long gapUs() {
            return switch (balancers) {
                case 1 -> 75_000;
                case 3 -> 110_000;
                case 30 -> 120_000;
                default -> 150_000;
            };
        }

        private int[] ranks() {
            return switch (balancers) {
                case 1 -> new int[] {0};
                case 3 -> new int[] {0, 1, 2};
                case 30 -> variant == 2 ? new int[] {11} : new int[] {4, 29};
                default -> new int[] {0, balancers / 3, balancers - 1};
            };
        }
    }

    private record RequestClass(
            String name, long aimUs, long deadlineUs, double value, double lateWorth, String effect, long workUs) {}

    private static final List<RequestClass> CLASSES = List.of(
            new RequestClass("listen", 300_000, 1_200_000, 1, 0, "effect=idempotent key_scope=all", 20_000),
            new RequestClass("tag", 500_000, 2_500_000, 2, 0.4, "effect=idempotent key_scope=all", 50_000),
            new RequestClass("store", 600_000, 2_000_000, 3, 0, "effect=deduplicated key_scope=all", 30_000),
            new RequestClass("move", 800_000, 2_500_000, 2, 0, "effect=deduplicated key_scope=zone", 40_000),
            new RequestClass("pay", 1_000_000, 3_000_000, 5, 0.2, "effect=deduplicated key_scope=cell", 25_000),
            new RequestClass("post", 1_200_000, 4_000_000, 4, 0, "effect=at_most_once key_scope=all", 60_000));

    /** Something that happens at a time of the clock, in the order of its creation where times are equal. */
    private record Due(long atUs, long number, Runnable happens) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** An instance of the module as its surroundings see it. */
    private static final class Proxy {
        final int who;
        final int rank;
        boolean up;
        int life;
        long downAtUs;
        boolean watching;
        int revision;

        Proxy(int who, int rank) {
            this.who = who;
            this.rank = rank;
        }
    }

    private static final class Backend {
        String id = "";
        int machine;
        int zone;
        int cell;
        double hint;
        double speed;
        int slots;
        String state = "IN";
        long startedAtUs;
        int revision;
        int attemptsOut;
        long hungUntilUs;
        long deadUntilUs;
        long failingUntilUs;
        int failingClass;
        long slowUntilUs;
        /** Neither restarts nor leaves, and has no troubles drawn at random. */
        boolean lasting;

        String entry() {
            return "entry stage_state=" + state + " group=" + cell + " machine=" + MACHINES[machine] + " zone="
                    + ZONES[zone] + (startedAtUs == 0 ? "" : " last_start_us=" + startedAtUs) + " capacity_hint="
                    + hint + " backend=" + id + "\n";
        }
    }

    private static final class Request {
        final String id;
        final Proxy proxy;
        final int life;
        final int type;
        final String tenant;
        final String key;
        final long workUs;
        final long deadlineUs;
        final int tries;
        final List<Attempt> attempts = new ArrayList<>();
        boolean over;
        long overAtUs;
        boolean flowing;

        Request(String id, Proxy proxy, int type, String tenant, String key, long workUs, long deadlineUs, int tries) {
            this.id = id;
            this.proxy = proxy;
            this.life = proxy.life;
            this.type = type;
            this.tenant = tenant;
            this.key = key;
            this.workUs = workUs;
            this.deadlineUs = deadlineUs;
            this.tries = tries;
        }

        void finish(long nowUs) {
            overAtUs = over ? overAtUs : nowUs;
            over = true;
        }

        boolean isVoid() {
            return !proxy.up || proxy.life != life;
        }
    }

    private static final class Attempt {
        final Request request;
        final Backend backend;
        final int go;
        final long sentAtUs;
        boolean ended;

        Attempt(Request request, Backend backend, long sentAtUs) {
            this.request = request;
            this.backend = backend;
            this.go = request.attempts.size();
            this.sentAtUs = sentAtUs;
        }
    }

    private final Scenario scenario;
    private final Random random;
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Backend> backends = new ArrayList<>();
    private final Map<String, Backend> backendsById = new HashMap<>();
    private final Map<String, Request> requests = new HashMap<>();
    private final StringBuilder batch = new StringBuilder();
    private final StringBuilder transcript = new StringBuilder();
    private final StringBuilder replies = new StringBuilder();
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream();
    private final TreeMap<String, Integer> actions = new TreeMap<>();
    private final long startUs;
    private final long endUs;
    private long nowUs;
    private long dueCount;
    private int requestCount;
    private int backendCount;
    private int revision;
    private int eventCount;
    private boolean started;
    private String staleCopy = "";

    GeneratedWorkload(Scenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        this.startUs = 40_000_000L + random.nextInt(1_000_000);
        this.endUs = startUs + scenario.durationUs();
        this.nowUs = startUs;
        begin();
    }

    /** All replies so far, as text. */
    String replies() {
        return replies.toString();
    }

    /** Events and replies in turn. */
    String transcript() {
        return transcript.toString();
    }

    /** How often each kind of action occurred. */
    Map<String, Integer> actions() {
        return actions;
    }

    int eventCount() {
        return eventCount;
    }

    long playedUs() {
        return nowUs - startUs;
    }

    /** The events: a batch is made when the one before has been read to its end and answered. */
    InputStream input() {
        return new InputStream() {
            private byte[] bytes = {};
            private int at;

            @Override
            public int read() {
                throw new UnsupportedOperationException("read in arrays: a batch at a time");
            }

            @Override
            public int read(byte[] target, int offset, int length) {
                if (at == bytes.length) {
                    String next = nextBatch();
                    if (next == null) {
                        return -1;
                    }
                    bytes = next.getBytes(StandardCharsets.UTF_8);
                    at = 0;
                }
                int count = Math.min(length, bytes.length - at);
                System.arraycopy(bytes, at, target, offset, count);
                at += count;
                return count;
            }
        };
    }

    /** Where the replies go. */
    OutputStream output() {
        return reply;
    }

    private String nextBatch() {
        if (started) {
            takeReply();
        }
        started = true;
        // What is due later is no more than calls to discovery: all requests have been answered.
        if (queue.isEmpty() || queue.element().atUs() > endUs) {
            return null;
        }
        batch.setLength(0);
        long quantumUs = scenario.quantumUs();
        nowUs = Math.max(nowUs + quantumUs, queue.element().atUs());
        nowUs += scenario.onGrid() ? Math.floorMod(startUs - nowUs, quantumUs) : 0;

        while (!queue.isEmpty() && queue.element().atUs() <= nowUs) {
            queue.remove().happens().run();
        }
        String text = "batch wall_us=" + nowUs + "\n" + batch + "commit\n";
        transcript.append(text);
        return text;
    }

    private void event(String line) {
        eventCount++;
        batch.append(line).append('\n');
    }

    private void after(long delayUs, Runnable happens) {
        queue.add(new Due(nowUs + delayUs, dueCount++, happens));
    }

    private long between(long least, long most) {
        return least + (long) (random.nextDouble() * (most - least));
    }

    private boolean chance(double share) {
        return random.nextDouble() < share;
    }

    // The course of a scenario

    private void begin() {
        int fleet = scenario.fleet() + random.nextInt(scenario.fleet() / 2);
        for (int i = 0; i < fleet; i++) {
            add(i == 0 ? nowUs - 2_000_000 : i == 1 ? nowUs - 100_000_000 : 0);
        }
        staleCopy = whole();
        int[] ranks = scenario.ranks();
        for (int i = 0; i < ranks.length; i++) {
            var proxy = new Proxy(3 + 2 * i, ranks[i]);
            proxies.add(proxy);
            after(1_000 + 300_000L * i, () -> up(proxy));
        }
        after(200_000, this::arrive);
        after(500_000, this::trouble);
        after(1_500_000, this::listChange);
        after(700_000, this::oddments);
        Proxy restarted = proxies.get(proxies.size() - 1);
        if (scenario.variant() != 2) {
            after(31_000_000, () -> {
                down(restarted);
                up(restarted);
            });
        }
        after(52_000_000, () -> {
            down(restarted);
            after(400_000, () -> up(restarted));
        });
        // One that fails long enough for the longest backoff, and one that answers again after several.
        Backend sick = backends.get(2);
        sick.lasting = true;
        if (scenario.variant() != 3) {
            after(200_000, () -> sick.deadUntilUs = nowUs + (scenario.variant() == 1 ? 23_000_000 : 88_000_000));
        } else {
            after(24_500_000, () -> backends.forEach(b -> b.hungUntilUs = nowUs + 3_000_000));
        }
        // The whole fleet out of reach for a while, then a list without any backend.
        after(44_000_000, () -> backends.forEach(b -> b.deadUntilUs = Math.max(b.deadUntilUs, nowUs + 1_200_000)));
        if (scenario.variant() != 2) {
            after(
                    47_000_000,
                    () -> proxies.forEach(p -> {
                        if (sees(p)) {
                            event("update who=" + p.who + " form=whole revision=" + ++revision + " nodes_list=0");
                            p.revision = 0;
                            after(350_000, () -> sendWhole(p));
                        }
                    }));
        }
    }

    /** Load relative to what the fleet bears: it changes every six seconds. */
    private double load() {
        double[] levels = {0.4, 1, 2, 0.7, 5, 1.5, 0.5, 3, 1, 8, 0.6};
        return levels[(int) Math.min(levels.length - 1, (nowUs - startUs) / 6_000_000)];
    }

    private void arrive() {
        if (nowUs - startUs > scenario.durationUs() - 6_000_000) {
            return;
        }
        // Requests come in bursts under overload, as the limits are on what is in flight at once.
        int count = load() >= 2 && chance(0.1)
                ? 2 + random.nextInt((int) ((scenario.balancers() < 30 ? 5 : 2) * load()))
                : 1;
        for (int i = 0; i < count; i++) {
            Proxy proxy = proxies.get(random.nextInt(proxies.size()));
            int type = random.nextInt(CLASSES.size());
            String tenant = !hasTenants() || chance(0.05) ? null : TENANTS[chance(0.7) ? 0 : 1];
            String key = chance(0.2) ? null : "user:k" + (int) (24 * random.nextDouble() * random.nextDouble());
            double size = -Math.log(1 - random.nextDouble());
            long work = 2_000 + (long) (CLASSES.get(type).workUs() * size);
            request(proxy, type, tenant, key, work, 1);
        }
        after(
                1
                        + (long) (-Math.log(1 - random.nextDouble())
                                * scenario.gapUs()
                                * (scenario.quantumUs() > 5_000 ? 0.5 : 1)
                                / Math.sqrt(load())),
                this::arrive);
    }

    private void request(Proxy proxy, int type, String tenant, String key, long workUs, int tries) {
        if (!proxy.up) {
            return;
        }
        long deadline = CLASSES.get(type).deadlineUs();
        long patience = tries == 1 ? (chance(0.9) ? deadline : deadline / 2) : between(deadline / 8, deadline * 2 / 3);
        var r = new Request(
                "t/" + Integer.toString(0x5a17 + 7919 * ++requestCount, 36),
                proxy,
                type,
                tenant,
                key,
                workUs,
                nowUs + patience,
                tries);
        requests.put(r.id, r);
        event("incoming who=" + proxy.who + " op_id=" + r.id + " kind="
                + CLASSES.get(type).name() + (tenant == null ? "" : " user_group=" + tenant)
                + (key == null ? "" : " path_key=" + key) + " patience_left_us=" + patience
                + (chance(0.5) ? " estimate_us=" + workUs : "") + (tries > 1 && marksRepeats() ? " repeat=1" : ""));
        after(patience + ANSWER_SLACK_US, () -> hangUp(r));
        if (chance(0.05)) {
            after(between(1_000, patience / 4), () -> hangUp(r));
        }
    }

    private void hangUp(Request r) {
        if (!r.over && !r.flowing && !r.isVoid()) {
            r.finish(nowUs);
            event("hangup who=" + r.proxy.who + " op_id=" + r.id);
        }
    }

    private void repeatLater(Request r, long delayUs) {
        if (r.tries < 4 && chance(0.4)) {
            after(
                    delayUs + between(20_000, 200_000),
                    () -> request(r.proxy, r.type, r.tenant, r.key, r.workUs, r.tries + 1));
        }
    }

    // Backends

    private Backend add(long startedAtUs) {
        var b = new Backend();
        int number = backendCount++;
        b.id = "10." + (17 * number % 250) + "." + random.nextInt(250) + ".7:" + (8000 + number);
        b.machine = random.nextInt(MACHINES.length);
        b.zone = number % ZONES.length;
        b.cell = number % 4;
        b.hint = Math.round(100 * MACHINE_SPEED[b.machine] * (0.8 + 0.4 * random.nextDouble())) / 100.0;
        b.speed = MACHINE_SPEED[b.machine] * (0.8 + 0.4 * random.nextDouble());
        b.slots = 2 + random.nextInt(4);
        b.startedAtUs = startedAtUs;
        b.revision = ++revision;
        backends.add(b);
        backendsById.put(b.id, b);
        return b;
    }

    private void trouble() {
        if (nowUs >= endUs - 8_000_000) {
            return;
        }
        Backend b = backends.get(random.nextInt(backends.size()));
        long until = nowUs + between(1_000_000, 5_000_000);
        if (b.lasting) {
            after(between(500_000, 4_000_000), this::trouble);
            return;
        }
        switch (random.nextInt(6)) {
            case 0, 1 -> b.hungUntilUs = until;
            case 2 -> b.deadUntilUs = until;
            case 3 -> {
                b.failingUntilUs = until;
                b.failingClass = -1;
            }
            case 4 -> {
                b.failingUntilUs = until;
                b.failingClass = random.nextInt(CLASSES.size());
            }
            default -> b.slowUntilUs = until;
        }
        after(between(500_000, 4_000_000), this::trouble);
    }

    private void relay(Request r, Backend b, long maxWaitUs) {
        var a = new Attempt(r, b, nowUs);
        r.attempts.add(a);
        b.attemptsOut++;
        RequestClass type = CLASSES.get(r.type);
        long left = r.deadlineUs - nowUs;
        long wait = maxWaitUs == 0 ? left : Math.min(maxWaitUs, left);
        double errors = (nowUs - startUs) / 20_000_000 % 2 == 1 ? 0.06 : 0.004;
        double warm = b.startedAtUs == 0
                ? 1
                : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (nowUs - b.startedAtUs) / (double) COLD_US);
        double busy = (b.attemptsOut + b.slots * 0.25 * load()) / b.slots;
        long service = (long) (r.workUs * (1 + busy * busy) / (b.speed * warm) * (nowUs < b.slowUntilUs ? 6 : 1));
        long latency = 800 + service + random.nextInt(4_000);
        boolean fails = nowUs < b.failingUntilUs && (b.failingClass < 0 || b.failingClass == r.type);
        String how;
        if (r.over || r.attempts.size() > MOST_TRIES || wait < 0) {
            how = "unused";
            latency = 0;
        } else if (nowUs < b.deadUntilUs || b.state.equals("OUT")) {
            how = "dial_failed";
            latency = chance(0.5) ? CONNECT_TIMEOUT_US : 1_500;
        } else if (nowUs < b.hungUntilUs) {
            how = "expired";
            latency = Long.MAX_VALUE;
        } else if (b.state.equals("LAME") || b.attemptsOut > 3 * b.slots || chance(0.002 * load())) {
            how = "shed";
            latency = 1_200;
        } else if (fails ? chance(0.8) : chance(errors)) {
            how = chance(0.7) ? "app_error" : "dropped";
            latency = Math.max(1_000, latency / 2);
        } else if (chance(0.01)) {
            how = "unused";
            latency = 500;
        } else {
            how = "delivered";
        }
        boolean streams = r.type == 1 && scenario.variant() % 2 == 0;
        if (streams && how.equals("delivered") && latency / 2 < wait) {
            String end = chance(0.05) ? "dropped" : how;
            long longer = latency + between(0, 2_000_000);
            after(latency / 2, () -> {
                if (!a.ended && !r.over && !r.isVoid()) {
                    r.flowing = true;
                    event("flowing who=" + r.proxy.who + " op_id=" + r.id + " cost_time_us=" + (nowUs - a.sentAtUs)
                            + " go=" + a.go + " backend=" + b.id);
                }
            });
            after(longer, () -> end(a, end));
        } else if (latency > wait) {
            after(Math.max(0, wait), () -> end(a, "expired"));
        } else {
            after(latency, () -> end(a, how));
        }
        if (latency == Long.MAX_VALUE || type.aimUs() < latency) {
            b.slowUntilUs = Math.max(b.slowUntilUs, chance(0.02) ? nowUs + 500_000 : 0);
        }
    }

    private void end(Attempt a, String how) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        a.backend.attemptsOut--;
        Request r = a.request;
        if (r.isVoid()) {
            return;
        }
        boolean answered = how.equals("delivered") && !r.over;
        if (how.equals("delivered") || r.flowing) {
            r.finish(nowUs);
        }
        event("completed who=" + r.proxy.who + " op_id=" + r.id + (r.over ? " last=1" : " last=0") + " cost_time_us="
                + (nowUs - a.sentAtUs) + " how=" + how + " backend=" + a.backend.id + " go=" + a.go
                + (chance(0.3) ? " health_info=q:" + a.backend.attemptsOut + ",lat_ms:14.5" : ""));
        if (answered && chance(0.01)) {
            event("hangup who=" + r.proxy.who + " op_id=" + r.id);
        }
    }

    // Discovery

    private String whole() {
        var text = new StringBuilder();
        int count = 0;
        for (Backend b : backends) {
            if (!b.state.equals("OUT")) {
                text.append(b.entry());
                count++;
            }
        }
        return " revision=" + revision + " nodes_list=" + count + "\n" + text;
    }

    private boolean sees(Proxy p) {
        return p.up && (scenario.pushed() || p.watching);
    }

    private void list(Proxy p, String form, String rest) {
        eventCount++;
        batch.append("update who=").append(p.who).append(" form=").append(form).append(rest);
    }

    private void sendWhole(Proxy p) {
        if (sees(p)) {
            p.revision = revision;
            list(p, "whole", whole());
        }
    }

    private void sendChanges(Proxy p) {
        if (!sees(p)) {
            return;
        }
        var text = new StringBuilder();
        int count = 0;
        for (Backend b : backends) {
            if (b.revision > p.revision) {
                text.append(b.entry());
                count++;
            }
        }
        p.revision = revision;
        if (count > 0) {
            list(p, "patch", " revision=" + revision + " nodes_list=" + count + "\n" + text);
        }
    }

    private void listChange() {
        if (nowUs >= endUs - 4_000_000) {
            return;
        }
        Backend b = backends.get(random.nextInt(backends.size()));
        int in = 0;
        for (Backend other : backends) {
            in += other.state.equals("IN") ? 1 : 0;
        }
        switch (b.lasting ? 5 : random.nextInt(in < 4 ? 3 : 6)) {
            case 0 -> add(nowUs);
            case 1 -> change(b, "IN", nowUs - 200_000);
            case 2 -> change(b, "IN", b.startedAtUs);
            case 3 -> {
                change(b, "LAME", b.startedAtUs);
                after(between(500_000, 2_500_000), () -> {
                    change(b, chance(0.5) ? "IN" : "OUT", nowUs);
                    announce();
                });
            }
            case 4 -> change(b, "OUT", b.startedAtUs);
            default -> {
                b.hint = Math.round(100 * (0.3 + 2 * random.nextDouble())) / 100.0;
                change(b, b.state, b.startedAtUs);
            }
        }
        if (chance(0.3)) {
            staleCopy = whole();
        }
        announce();
        after(between(300_000, 2_500_000), this::listChange);
    }

    private void change(Backend b, String state, long startedAtUs) {
        b.state = state;
        b.startedAtUs = startedAtUs;
        b.revision = ++revision;
    }

    private void announce() {
        for (Proxy p : proxies) {
            boolean full = chance(0.15);
            after(between(20_000, 400_000), () -> {
                if (full) {
                    sendWhole(p);
                } else {
                    sendChanges(p);
                }
            });
        }
    }

    private void answerFailure(Proxy p, int life) {
        if (p.up && p.life == life && !p.watching) {
            list(p, "broken", " revision=" + revision + "\n");
        }
    }

    private void answerCall(Proxy p, int life, boolean watch) {
        if (!p.up || p.life != life) {
            return;
        }
        if (chance(0.35)) {
            list(p, "broken", " revision=" + revision + "\n");
            return;
        }
        p.watching |= watch;
        if (watch && chance(0.5)) {
            p.revision = Math.max(0, p.revision - 1);
            sendChanges(p);
        } else {
            p.revision = revision;
            list(p, "whole", whole());
        }
        if (watch) {
            after(between(3_000_000, 15_000_000), () -> {
                if (p.up && p.life == life && p.watching) {
                    p.watching = false;
                    list(p, "broken", " revision=" + revision + "\n");
                    // A failure does not say of which call it is: a second one may follow at once.
                    if (chance(0.4)) {
                        after(between(5_000, 90_000), () -> answerFailure(p, life));
                    }
                }
            });
        }
    }

    // Instances

    private void up(Proxy p) {
        p.up = true;
        p.life++;
        p.watching = false;
        p.revision = 0;
        event("up who=" + p.who + " prng=" + (random.nextLong() >>> 11) + " " + setup(p));
        list(p, "stale_copy", staleCopy);
        if (scenario.pushed()) {
            after(between(50_000, 300_000), () -> sendWhole(p));
        }
    }

    private void down(Proxy p) {
        event("detach who=" + p.who);
        p.up = false;
        p.downAtUs = nowUs;
    }

    /** Events that no action asked for. */
    private void oddments() {
        if (nowUs >= endUs) {
            return;
        }
        Proxy p = proxies.get(random.nextInt(proxies.size()));
        Backend b = backends.get(random.nextInt(backends.size()));
        if (p.up) {
            event(
                    chance(0.5)
                            ? "inbox who=" + p.who + " author=1 content=68692037"
                            : "probed who=" + p.who + " cost_time_us=" + random.nextInt(9_000) + " how="
                                    + (chance(0.5) ? "delivered" : "dial_failed") + " backend=" + b.id);
        }
        after(between(1_000, 1_000_000), this::oddments);
    }

    private boolean hasTenants() {
        return scenario.variant() != 2;
    }

    private boolean marksRepeats() {
        return scenario.variant() != 3;
    }

    private String setup(Proxy p) {
        int v = scenario.variant();
        var text = new StringBuilder();
        text.append("balancers=").append(scenario.balancers()).append(" rank=").append(p.rank);
        text.append(" bounds.cancel=").append(v != 3 || scenario.pushed());
        text.append(" bounds.connect_timeout_us=").append(CONNECT_TIMEOUT_US);
        text.append(" bounds.max_retry_after_us=2500000 bounds.retry_after=").append(v != 2 || scenario.pushed());
        text.append(" bounds.may_duplicate=").append(v == 1).append(" bounds.probes=true bounds.most_tries=");
        text.append(MOST_TRIES).append(" callers.marks_retry=").append(marksRepeats());
        text.append(" extra.warm_keys=").append(v != 2 || !scenario.pushed());
        text.append(" invariants.answer_slack_us=").append(ANSWER_SLACK_US);
        text.append(" invariants.cold_from=")
                .append(COLD_FROM)
                .append(" invariants.cold_us=")
                .append(COLD_US);
        text.append(" invariants.drain_grace_us=1000000 invariants.fall_multiple=3.0 invariants.fall_us=3000000");
        text.append(" invariants.must_ask_in_us=10000000 invariants.full_unproven=")
                .append(v == 3);
        text.append(" locality=").append(ZONES[p.rank % ZONES.length]).append(" over_share_worth=0.2");
        text.append(" profiles.count=").append(CLASSES.size());
        for (int i = 0; i < CLASSES.size(); i++) {
            RequestClass c = CLASSES.get(i);
            String path = " profiles." + i + ".";
            text.append(path).append("aim_us=").append(c.aimUs());
            text.append(path).append("deadline_us=").append(c.deadlineUs());
            text.append(path)
                    .append("effect=")
                    .append(c.effect().substring("effect=".length(), c.effect().indexOf(' ')));
            text.append(path).append(c.effect().substring(c.effect().indexOf(' ') + 1));
            text.append(path).append("late_worth=").append(c.lateWorth());
            text.append(path).append("name=").append(c.name());
            text.append(path).append("value=").append(c.value());
            text.append(path).append("window_us=").append(scenario.windowUs());
        }
        if (hasTenants()) {
            text.append(" projects.count=2");
            for (int i = 0; i < TENANTS.length; i++) {
                text.append(" projects.").append(i).append(".name=").append(TENANTS[i]);
                double perS = (i == 0 ? 9.0 : 6.0) * scenario.balancers() / proxies.size();
                text.append(" projects.").append(i).append(".allowance_per_s=").append(perS);
            }
        }
        text.append(" quantum_us=").append(scenario.quantumUs()).append(" registry_mode=");
        text.append(scenario.pushed() ? "pushed" : "on_request")
                .append(" zones=")
                .append(String.join(",", ZONES));
        return text.toString();
    }

    // Replies

    private void takeReply() {
        String text = reply.toString(StandardCharsets.UTF_8);
        reply.reset();
        if (!text.endsWith("ok\n")) {
            throw new AssertionError("no whole reply: " + text);
        }
        replies.append(text);
        transcript.append(text);
        text.lines().filter(line -> !line.equals("ok")).forEach(this::action);
    }

    private void action(String line) {
        String[] parts = line.split(" ", -1);
        var values = new HashMap<String, String>();
        for (int i = 1; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            values.put(parts[i].substring(0, Math.max(0, equals)), parts[i].substring(equals + 1));
        }
        actions.merge(parts[0], 1, Integer::sum);
        int who = Integer.parseInt(values.get("who"));
        Proxy p = proxies.get((who - 3) / 2);
        int life = p.life;
        Request named = requests.get(values.getOrDefault("op_id", ""));
        if (named != null && named.isVoid() && p.downAtUs == nowUs) {
            // Decided on an event that stood before the end of this instance in the batch: void with all it held.
            return;
        }
        switch (parts[0]) {
            case "relay" -> {
                Request r = own(line, values, p);
                Backend b = backendsById.get(values.get("backend"));
                if (b == null || (r.over && r.overAtUs < nowUs)) {
                    throw new AssertionError("a relay for a finished request or to an unknown backend: " + line);
                }
                relay(r, b, Long.parseLong(values.get("max_wait_us")));
            }
            case "arm" -> {
                String ctx = values.get("ctx");
                after(Math.max(1, Long.parseLong(values.get("fire_at_us")) - nowUs), () -> {
                    if (p.up && p.life == life) {
                        event("deadline_hit who=" + who + " ctx=" + ctx);
                    }
                });
            }
            case "not_now", "finish_error" -> {
                Request r = own(line, values, p);
                if (!r.over) {
                    r.finish(nowUs);
                    if (parts[0].equals("not_now") || r.type < 2) {
                        repeatLater(r, Long.parseLong(values.getOrDefault("not_before_for_us", "0")));
                    }
                }
            }
            case "retract" -> {
                Request r = own(line, values, p);
                Attempt a = r.attempts.get(Integer.parseInt(values.get("go")));
                if (!r.flowing) {
                    after(between(500, 3_000), () -> end(a, "revoked"));
                }
            }
            case "observe" -> {
                boolean on = values.get("enable").equals("1");
                p.watching &= on;
                if (on) {
                    after(between(2_000, 300_000), () -> answerCall(p, life, true));
                }
            }
            case "pull" -> after(between(2_000, 300_000), () -> answerCall(p, life, false));
            case "release", "print", "sound_out" -> {
                // Nothing in this world depends on these.
            }
            default -> throw new AssertionError("unexpected reply: " + line);
        }
    }

    private Request own(String line, Map<String, String> values, Proxy p) {
        Request r = requests.get(values.get("op_id"));
        if (r == null || r.proxy != p || r.isVoid()) {
            throw new AssertionError("not a request of this instance: " + line);
        }
        return r;
    }
}
