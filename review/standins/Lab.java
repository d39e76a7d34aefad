import java.io.BufferedReader;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The stand-ins that all cases share: platform, discovery, backends and clients, on loopback and the real clock. */
final class Lab {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final long START_NANOS = System.nanoTime();

    private Lab() {}

    static double nowMs() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static void sleep(double ms) {
        try {
            if (ms > 0) {
                TimeUnit.NANOSECONDS.sleep((long) (ms * 1e6));
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread daemon(Runnable task) {
        var thread = new Thread(null, task, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** What a case does; returns whether the rule held. */
    interface Case {
        boolean holds(Path root, Record record, boolean trouble) throws Exception;
    }

    /**
     * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
     *
     * @param args the root of the repository and the file for the record
     */
    static void run(String[] args, Case body) {
        int exit = 2;
        try (var record = new Record(Path.of(args[1]))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.say(trouble ? "run with the disruption" : "run without the disruption");
            var lateness = new Lateness();
            boolean holds = body.holds(Path.of(args[0]), record, trouble);
            record.say(String.format(Locale.ROOT, "the stand-ins ran at most %.0f ms late", lateness.maxMs));
            if (lateness.maxMs > 250) {
                record.say("the case couldn't run: the machine was too busy");
            } else {
                record.say(holds ? "the rule held" : "THE RULE WAS BROKEN");
                exit = holds ? 0 : 1;
            }
        } catch (Exception | Error e) {
            System.out.println("the case couldn't run: " + e);
        }
        Runtime.getRuntime().halt(exit);
    }

    /** Measures how late a thread of this process wakes up. */
    private static final class Lateness {
        volatile double maxMs;

        Lateness() {
            daemon(() -> {
                while (true) {
                    double before = nowMs();
                    sleep(10);
                    maxMs = Math.max(maxMs, nowMs() - before - 10);
                }
            });
        }
    }

    /** A case that can't run; the script then exits with 2. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String message) {
            super(message);
        }
    }

    /** The file record.txt of a case: one line per event, with the time in milliseconds since the start. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(String text) {
            out.printf(Locale.ROOT, "%10.1f %s%n", nowMs(), text);
            out.flush();
        }

        /** Writes a line to the record and to standard output. */
        void say(String text) {
            line(text);
            System.out.println(text);
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    /** A message as received: its first line, its headers with lower-case names, and its body. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** One end of a connection that reads and writes HTTP/1.1 messages. */
    static final class Conn implements AutoCloseable {
        final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        Conn(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Conn open(int port) throws IOException {
            var socket = new Socket();
            socket.connect(new InetSocketAddress(LOOPBACK, port), 3_000);
            return new Conn(socket);
        }

        void write(String text) throws IOException {
            write(bytes(text));
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        private String line() throws IOException {
            var text = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new EOFException(text.length() == 0 ? "closed" : "closed in a message");
                }
                text.append((char) b);
            }
            return text.toString().stripTrailing();
        }

        /** Reads a message that has a Content-Length, is chunked or has no body; returns null at the end of input. */
        Message read() throws IOException {
            String start;
            try {
                start = line();
            } catch (EOFException e) {
                if (e.getMessage().equals("closed")) {
                    return null;
                }
                throw e;
            }
            var headers = new LinkedHashMap<String, String>();
            for (String line = line(); !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            byte[] body;
            if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                var all = new ByteArrayOutputStream();
                for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
                    all.write(in.readNBytes(size));
                    line();
                }
                line();
                body = all.toByteArray();
            } else {
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                body = in.readNBytes(length);
                if (body.length < length) {
                    throw new EOFException("closed in a body");
                }
            }
            return new Message(start, headers, body);
        }

        /** Returns whether the other side has closed the connection, as far as it has been told by now. */
        boolean isClosedByPeer() throws IOException {
            socket.setSoTimeout(1);
            in.mark(1);
            try {
                int next = in.read();
                in.reset();
                return next < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            }
        }

        /** Closes with a reset in place of the usual end. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Already closed.
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Already closed.
            }
        }
    }

    interface Handler {
        void handle(Conn conn) throws IOException;
    }

    /** A server with a thread for each connection. */
    static class Server implements AutoCloseable {
        final ServerSocket socket;
        private final List<Conn> open = Collections.synchronizedList(new ArrayList<>());

        Server(Handler handler) throws IOException {
            socket = new ServerSocket(0, 512, LOOPBACK);
            daemon(() -> acceptAll(handler));
        }

        private void acceptAll(Handler handler) {
            while (!socket.isClosed()) {
                try {
                    var conn = new Conn(socket.accept());
                    open.add(conn);
                    daemon(() -> {
                        try (conn) {
                            handler.handle(conn);
                        } catch (IOException | RuntimeException e) {
                            // The peer has gone or has sent something that is not HTTP.
                        } finally {
                            open.remove(conn);
                        }
                    });
                } catch (IOException e) {
                    // Closed.
                }
            }
        }

        int port() {
            return socket.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Already closed.
            }
            List.copyOf(open).forEach(Conn::close);
        }
    }

    /** Discovery as PROTOCOL describes it: the whole list, changes since a version, and watches that are held. */
    static final class Discovery implements AutoCloseable {
        private final Map<String, String> entries = new TreeMap<>();
        private final Map<String, Integer> changedAt = new HashMap<>();
        private final Record record;
        private final String name;
        private int version = 1;
        final Server server;
        /** How much later than usual each answer is written, in milliseconds. */
        volatile double lateMs;

        Discovery(String name, Record record) throws IOException {
            this.name = name;
            this.record = record;
            server = new Server(this::serve);
        }

        static String entry(String id, String address, String zone, int cell, String state, long startedMs) {
            return String.format(
                    Locale.ROOT,
                    "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"rapido\",\"cell\":%d,"
                            + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}",
                    id, address, zone, cell, state, startedMs);
        }

        /** Sets an entry; a watch is answered at once. */
        synchronized void set(String id, String entry) {
            version++;
            entries.put(id, entry);
            changedAt.put(id, version);
            record.line(name + ": version " + version + " has " + entry);
            notifyAll();
        }

        private void serve(Conn conn) throws IOException {
            for (Message call = conn.read(); call != null; call = conn.read()) {
                String target = call.start().split(" ")[1];
                record.line(name + ": call " + target);
                String body = list(parameter(target, "from"), parameter(target, "hold_ms"));
                sleep(lateMs);
                conn.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
                record.line(name + ": answered " + (body.length() < 600 ? body : body.substring(0, 600)));
            }
        }

        private static long parameter(String target, String key) {
            int at = target.indexOf(key + "=");
            return at < 0 ? -1 : Long.parseLong(target.substring(at + key.length() + 1).split("&")[0]);
        }

        private synchronized String list(long from, long holdMs) {
            double until = nowMs() + holdMs;
            while (from >= 0 && version <= from && nowMs() < until) {
                try {
                    wait(Math.max(1, (long) (until - nowMs())));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            var listed = new ArrayList<String>();
            entries.forEach((id, entry) -> {
                boolean gone = entry.contains("\"state\":\"gone\"");
                if (from >= 0 ? changedAt.get(id) > from : !gone) {
                    listed.add(entry);
                }
            });
            return "{\"version\":" + version + ",\"full\":" + (from < 0) + ",\"servers\":["
                    + String.join(",", listed) + "]}";
        }

        @Override
        public void close() {
            server.close();
        }
    }

    /** What a backend does with one request; returns false to end the connection. */
    interface Work {
        boolean serve(Backend backend, Conn conn, Message request) throws IOException;
    }

    /** A backend as PROTOCOL describes it; by default it answers 200 with its id and the request's id. */
    static final class Backend implements AutoCloseable {
        final String id;
        final Server server;
        final Record record;
        /** For each request id, when it was begun, in milliseconds. */
        final Map<String, List<Double>> begun = new HashMap<>();

        Backend(String id, Record record, Work work) throws IOException {
            this.id = id;
            this.record = record;
            server = new Server(conn -> {
                boolean open = true;
                while (open) {
                    Message request = conn.read();
                    if (request == null) {
                        return;
                    }
                    String requestId = request.header("x-request-id");
                    synchronized (begun) {
                        begun.computeIfAbsent(requestId, key -> new ArrayList<>()).add(nowMs());
                    }
                    record.line("backend " + id + ": begins " + requestId + " " + request.start() + " X-Timeout "
                            + request.header("x-timeout"));
                    open = work.serve(this, conn, request);
                }
            });
        }

        static String ok(String body) {
            return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        }

        /** The body that this backend makes for a request. */
        String bodyFor(Message request) {
            return "answer to " + request.header("x-request-id") + " from " + id;
        }

        int runs(String requestId) {
            synchronized (begun) {
                return begun.getOrDefault(requestId, List.of()).size();
            }
        }

        int total() {
            synchronized (begun) {
                return begun.values().stream().mapToInt(List::size).sum();
            }
        }

        @Override
        public void close() {
            server.close();
        }
    }

    /** The proxy, started by the run command of the deploy file as a process of its own. */
    static final class Proxy implements AutoCloseable {
        final Process process;
        final int port;
        final Path config;
        private final Path folder;
        private final Record record;
        private final List<String> log = Collections.synchronizedList(new ArrayList<>());

        Proxy(Path root, Record record, Config settings) throws IOException {
            this.record = record;
            port = settings.listenPort;
            folder = Files.createTempDirectory("review");
            config = folder.resolve("config.json");
            Files.writeString(config, settings.json());
            Files.createDirectory(folder.resolve("tmp"));
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow(() -> new CannotRun("the deploy file has no run command"))
                    .replaceAll("^run = \"|\"$", "");
            var builder = new ProcessBuilder("env", "--default-signal=HUP,INT,TERM", "/bin/sh", "-c", run);
            builder.directory(root.toFile()).redirectErrorStream(true);
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("PROXY_NAME", settings.name);
            builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("PROXY_DISCOVERY", settings.discovery);
            builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            daemon(this::collectLog);
        }

        private void collectLog() {
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    log.add(line);
                    record.line("proxy log: " + line);
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }

        List<String> log() {
            synchronized (log) {
                return List.copyOf(log);
            }
        }

        /** Waits until GET /ready answers 200, as the front does. */
        void awaitReady() {
            double until = nowMs() + 30_000;
            while (nowMs() < until) {
                try (Conn conn = Conn.open(port)) {
                    conn.socket.setSoTimeout(2_000);
                    conn.write("GET /ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
                    Message answer = conn.read();
                    if (answer != null && answer.status() == 200) {
                        record.line("proxy: ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                if (!process.isAlive()) {
                    throw new CannotRun("the proxy has ended before it was ready");
                }
                sleep(100);
            }
            throw new CannotRun("the proxy was not ready within 30 s");
        }

        void signal(String name) throws IOException {
            record.line("platform: SIG" + name + " to the proxy");
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void close() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
                Files.deleteIfExists(config);
                Files.deleteIfExists(folder.resolve("tmp"));
                Files.deleteIfExists(folder);
            } catch (IOException | InterruptedException e) {
                // The temporary folder stays.
            }
        }
    }

    /** The configuration of a proxy, with the figures of the example on the page of the wire. */
    static final class Config {
        final int listenPort = freePort();
        String name = "n0";
        String discovery;
        int sockets = 1024;
        int memoryMb = 192;
        String mode = "pushed";
        int balancers = 1;
        boolean cancel = true;
        boolean mayDuplicate = false;
        int mostTries = 5;
        long connectTimeoutUs = 150_000;
        long idleUs = 60_000_000;
        String zone = "cordon";
        long drainGraceUs = 1_000_000;
        double fallMultiple = 3;
        long fallUs = 3_000_000;
        long mustAskInUs = 10_000_000;
        String tenants = "{\"name\":\"red-escolar\",\"allowance_per_s\":118.0},"
                + "{\"name\":\"instituto-habla\",\"allowance_per_s\":48.0}";
        String known = "";
        /** Each class as an object of the settings. */
        final List<String> profiles = new ArrayList<>();

        Config(String discovery) {
            this.discovery = discovery;
        }

        Config profile(String name, long aimUs, long deadlineUs, String effect, String scope, long windowUs, int value) {
            profiles.add(String.format(
                    Locale.ROOT,
                    "{\"name\":\"%s\",\"aim_us\":%d,\"deadline_us\":%d,\"effect\":\"%s\",\"key_scope\":\"%s\","
                            + "\"window_us\":%d,\"value\":%d,\"late_worth\":0.0,\"stream\":false}",
                    name, aimUs, deadlineUs, effect, scope, windowUs, value));
            return this;
        }

        String json() {
            return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listenPort + "\",\"discovery\":\"" + discovery
                    + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                    + ",\"sockets\":" + sockets + "}," + known
                    + "\"settings\":{\"balancers\":" + balancers + ",\"rank\":0,\"locality\":\"" + zone
                    + "\",\"quantum_us\":5000,\"registry_mode\":\"" + mode + "\",\"over_share_worth\":0.2,"
                    + "\"bounds\":{\"cancel\":" + cancel + ",\"may_duplicate\":" + mayDuplicate
                    + ",\"probes\":false,\"most_tries\":" + mostTries + ",\"retry_after\":true,"
                    + "\"max_retry_after_us\":2500000,\"conn_idle_us\":" + idleUs + ",\"connect_timeout_us\":"
                    + connectTimeoutUs + "},"
                    + "\"invariants\":{\"answer_slack_us\":20000,\"drain_grace_us\":" + drainGraceUs
                    + ",\"cold_from\":0.33,\"cold_us\":9000000,\"fall_multiple\":" + fallMultiple + ",\"fall_us\":"
                    + fallUs + ",\"must_ask_in_us\":" + mustAskInUs + "},"
                    + "\"profiles\":[" + String.join(",", profiles) + "],"
                    + "\"projects\":[" + tenants + "]}}";
        }

        private static int freePort() {
            try (var socket = new ServerSocket(0, 1, LOOPBACK)) {
                return socket.getLocalPort();
            } catch (IOException e) {
                throw new CannotRun("no free port");
            }
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The head of a client's request, as PROTOCOL shows it. */
    static String head(String method, String id, String requestClass, int timeoutMs, int length) {
        return head(method, id, requestClass, "red-escolar", timeoutMs, length);
    }

    static String head(
            String method, String id, String requestClass, String tenant, int timeoutMs, int length) {
        return method + " /api?k=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Tenant-Id: " + tenant
                + "\r\nX-Timeout: " + timeoutMs
                + "m\r\n" + (length > 0 || method.equals("POST") ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    /** How a request ended for its client. */
    record Ending(String id, double sentMs, double endedMs, int status, String detail) {
        boolean answered() {
            return status > 0;
        }
    }

    /**
     * Sends one request on a connection and waits for its answer until the time-out and a further time have passed.
     * Status 0: the connection ended without an answer. Status -1: no answer came.
     */
    static Ending ask(Conn conn, Record record, String id, byte[] request, int timeoutMs, int furtherMs) {
        double sent = nowMs();
        try {
            conn.write(request);
            sent = nowMs();
            record.line("client: sent " + id);
            conn.socket.setSoTimeout(timeoutMs + furtherMs);
            Message answer = conn.read();
            Ending ending = answer == null
                    ? new Ending(id, sent, nowMs(), 0, "connection closed without an answer")
                    : new Ending(id, sent, nowMs(), answer.status(), answer.text());
            record.line("client: " + id + " got " + describe(ending));
            return ending;
        } catch (java.net.SocketTimeoutException e) {
            record.line("client: " + id + " got no answer within " + (timeoutMs + furtherMs) + " ms");
            return new Ending(id, sent, nowMs(), -1, "no answer");
        } catch (IOException e) {
            record.line("client: " + id + " got no answer: " + e.getMessage());
            return new Ending(id, sent, nowMs(), 0, "connection broke: " + e.getMessage());
        }
    }

    private static String describe(Ending e) {
        String text = e.detail().length() > 120 ? e.detail().substring(0, 120) + "..." : e.detail();
        return e.status() + " after " + String.format(Locale.ROOT, "%.1f", e.endedMs() - e.sentMs()) + " ms: " + text;
    }
}
