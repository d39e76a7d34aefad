import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * What the cases of the second review share: the proxy as a separate process, started by the `run` command of the
 * deploy file, and small stand-ins for clients, backends and discovery on loopback addresses. All stand-ins follow
 * PROTOCOL-gaugegw.md; a case overrides what its disruption changes.
 */
final class Lab implements Closeable {
    /** False for TROUBLE=0, the run without the disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** A case that has not ended by then is given up. */
    private static final long LONGEST_MS = 110_000;

    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Closeable> open = new CopyOnWriteArrayList<>();
    private final Path temp;

    Lab(String caseFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        temp = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("trouble=%s", trouble);
    }

    interface Case {
        void play(Lab lab) throws Exception;
    }

    /** Plays a case whose folder is the first argument; an unexpected exception means that it couldn't run. */
    static void run(String[] args, Case played) throws IOException {
        var lab = new Lab(args[0]);
        background(() -> {
            sleep(LONGEST_MS);
            lab.finish(2, "the case did not end within %d ms", LONGEST_MS);
        });
        try {
            played.play(lab);
            lab.finish(2, "the case ended without a verdict");
        } catch (Exception | Error e) {
            lab.finish(2, "the case could not run: %s", e);
        }
    }

    /** Milliseconds since the start of the case. */
    double ms() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized void log(String format, Object... args) {
        record.println(String.format(Locale.ROOT, "%10.1f ", ms()) + String.format(Locale.ROOT, format, args));
    }

    /** Prints the verdict, ends all processes and exits: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
    void finish(int status, String format, Object... args) {
        String text = String.format(Locale.ROOT, format, args);
        log("verdict %d: %s", status, text);
        System.out.println(text);
        close();
        Runtime.getRuntime().halt(status);
    }

    @Override
    public void close() {
        for (Closeable each : open) {
            try {
                each.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
        try (var files = Files.walk(temp)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // The folder is gone already.
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a daemon thread; an exception, as when its socket is closed, ends it. */
    static Thread background(Task task) {
        var thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The socket was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // HTTP

    /** A message as it was read: its first line, its headers in lower case, and its body. */
    record Message(String firstLine, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** A connection on which whole messages are read. */
    static final class Connection implements Closeable {
        final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Connection to(int port) throws IOException {
            var socket = new Socket();
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2_000);
            return new Connection(socket);
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Reads a message; null if the peer has closed the connection before its first byte. */
        Message read() throws IOException {
            String first = line();
            if (first == null) {
                return null;
            }
            var headers = new TreeMap<String, String>();
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            var body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                for (int length = chunk(); length > 0; length = chunk()) {
                    body.write(exactly(length));
                    line();
                }
                while (!line().isEmpty()) {
                    // A trailer.
                }
            } else if (headers.containsKey("content-length")) {
                body.write(exactly(Integer.parseInt(headers.get("content-length"))));
            }
            return new Message(first, headers, body.toString(StandardCharsets.ISO_8859_1));
        }

        private int chunk() throws IOException {
            return Integer.parseInt(line().split(";")[0].trim(), 16);
        }

        private byte[] exactly(int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new IOException("the connection ended within a message");
            }
            return bytes;
        }

        private String line() throws IOException {
            var line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    if (line.length() > 0) {
                        throw new IOException("the connection ended within a line");
                    }
                    return null;
                }
                line.append((char) c);
            }
            return line.toString().replaceAll("\r$", "");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // Clients

    /** Returns the text of a request with no body. */
    static String get(String id, String requestClass, String key, int timeoutMs) {
        return "GET /api?k=" + key + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Tenant-Id: red-escolar\r\nX-Timeout: " + timeoutMs
                + "m\r\n\r\n";
    }

    /** Returns the head of a POST, without the fields that frame its body and without the empty line. */
    static String postHead(String id, String requestClass, String key, int timeoutMs) {
        return "POST /api?k=" + key + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Tenant-Id: red-escolar\r\nX-Timeout: " + timeoutMs
                + "m\r\n";
    }

    static String post(String id, String requestClass, String key, int timeoutMs, String body) {
        return postHead(id, requestClass, key, timeoutMs) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    // Backends

    /** What a backend does with a request that it has read. */
    interface Handler {
        void handle(Backend backend, Connection connection, Message request) throws IOException;
    }

    /** A backend: one thread a connection, on which it answers one request after the other. */
    final class Backend implements Closeable {
        final String id;
        final ServerSocket server;
        volatile Handler handler = Lab::answer;
        volatile int workMs = 20;
        volatile boolean noDelay;
        final List<Connection> connections = new CopyOnWriteArrayList<>();

        Backend(String id) throws IOException {
            this.id = id;
            server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
            open.add(this);
            background(() -> {
                while (true) {
                    var connection = new Connection(server.accept());
                    connection.socket.setTcpNoDelay(noDelay);
                    connections.add(connection);
                    background(() -> serve(connection));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void serve(Connection connection) throws IOException {
            try (connection) {
                for (Message m = connection.read(); m != null; m = connection.read()) {
                    log("%s got %s %s", id, m.header("X-Request-ID"), m.firstLine());
                    handler.handle(this, connection, m);
                }
            } finally {
                connections.remove(connection);
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Connection connection : connections) {
                connection.close();
            }
        }
    }

    /** The usual answer: 200 with a body that names the request. */
    static void answer(Backend backend, Connection connection, Message request) throws IOException {
        sleep(backend.workMs);
        connection.send(ok("answer to " + request.header("X-Request-ID")));
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    // Discovery

    /** Discovery: whole lists, and watches that are held until something changes. */
    final class Discovery implements Closeable {
        final ServerSocket server;
        /** By id: the entry's text and the version in which it changed last. */
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Integer> changedIn = new LinkedHashMap<>();
        private int version = 41;
        /** How long each answer takes after it is due. */
        volatile long answerDelayMs;

        Discovery() throws IOException {
            server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
            open.add(this);
            background(() -> {
                while (true) {
                    var connection = new Connection(server.accept());
                    background(() -> {
                        try (connection) {
                            handle(connection);
                        }
                    });
                }
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        static String entry(Backend backend, String state, String zone, String kind, int cell, long startedMs) {
            return "{\"id\":\"" + backend.id + "\",\"addr\":\"" + backend.address() + "\",\"zone\":\"" + zone
                    + "\",\"kind\":\"" + kind + "\",\"cell\":" + cell + ",\"state\":\"" + state
                    + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
        }

        synchronized void put(Backend backend, String state) {
            put(backend.id, entry(backend, state, "cordon", "rapido", 3, 0));
        }

        synchronized void put(String id, String entry) {
            version++;
            entries.put(id, entry);
            changedIn.put(id, version);
            log("discovery has version %d: %s", version, entry);
            notifyAll();
        }

        private synchronized String list(int from, long holdMs) throws InterruptedException {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(holdMs);
            while (from >= version && System.nanoTime() < until) {
                wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
            }
            var changed = new ArrayList<String>();
            entries.forEach((id, entry) -> {
                boolean gone = entry.contains("\"state\":\"gone\"");
                if (from < 0 ? !gone : changedIn.get(id) > from) {
                    changed.add(entry);
                }
            });
            return "{\"version\":" + version + ",\"full\":" + (from < 0) + ",\"servers\":["
                    + String.join(",", changed) + "]}";
        }

        private void handle(Connection connection) throws Exception {
            Message call = connection.read();
            if (call == null) {
                return;
            }
            log("discovery called: %s", call.target());
            int from = -1;
            long holdMs = 0;
            for (String parameter : call.target().replaceAll("^[^?]*\\??", "").split("&")) {
                if (parameter.startsWith("from=")) {
                    from = Integer.parseInt(parameter.substring(5));
                } else if (parameter.startsWith("hold_ms=")) {
                    holdMs = Long.parseLong(parameter.substring(8));
                }
            }
            String list = list(from, holdMs);
            sleep(answerDelayMs);
            try {
                connection.send(ok(list));
                log("discovery answered %s: %s", call.target(), list);
            } catch (IOException e) {
                log("discovery could not answer %s: the caller has closed", call.target());
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // The proxy

    /** A proxy: a process of its own, started by the `run` command of the deploy file. */
    final class Proxy implements Closeable {
        final int port;
        final Path config;
        private final String text;
        private Process process;

        Proxy(int port, String text) throws IOException {
            this.port = port;
            this.text = text;
            config = Files.writeString(temp.resolve("proxy-" + port + ".json"), text);
            open.add(this);
            start();
        }

        void start() throws IOException {
            String run = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow()
                    .replaceAll("^run = \"|\"$", "");
            var command = new ProcessBuilder("/bin/sh", "-c", run).redirectErrorStream(true);
            command.environment().put("PROXY_CONFIG", config.toString());
            command.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            command.environment().put("TMPDIR", temp.toString());
            Process started = command.start();
            process = started;
            log("proxy %d started as process %d", port, started.pid());
            background(() -> {
                try (var lines = started.inputReader(StandardCharsets.UTF_8)) {
                    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        log("proxy %d log: %s", port, line);
                    }
                }
                log("proxy %d ended with status %d", port, started.waitFor());
            });
        }

        Process process() {
            return process;
        }

        void signal(String name) throws IOException, InterruptedException {
            log("SIG%s to proxy %d", name, port);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
        }

        /** Waits until `GET /ready` is answered with 200; ends the case with status 2 if that takes over 30 s. */
        void awaitReady() {
            while (ms() < 40_000) {
                try (var connection = Connection.to(port)) {
                    connection.socket.setSoTimeout(1_000);
                    connection.send("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
                    Message answer = connection.read();
                    if (answer != null && answer.status() == 200) {
                        log("proxy %d is ready", port);
                        return;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                sleep(50);
            }
            finish(2, "the proxy was not ready within 30 s");
        }

        @Override
        public void close() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    static int freePort() throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /**
     * Settings like those of the deployment montevideo-main: its classes, limits and rules.
     *
     * @param mode `pushed` or `on_request`
     */
    static String config(int port, String discovery, int proxies, int rank, String mode, String known) {
        return """
                {"name":"n%d","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be96%x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 %s
                 "settings":{"balancers":%d,"rank":%d,"locality":"cordon","quantum_us":5000,"registry_mode":"%s",
                  "family":"proxy","stage":0,"weight_source":"rough","worth_by":"request",
                  "zones":["cordon","pocitos","la-teja"],"kinds":["rapido","lento"],"layers":["archivo"],
                  "extra":{"warm_keys":true},
                  "bounds":{"cancel":true,"may_duplicate":true,"probes":false,"peer_messages":false,"retry_after":true,
                   "most_tries":5,"max_retry_after_us":2500000,"conn_idle_us":60000000,"connect_timeout_us":150000,
                   "streams_per_conn":1,"open_cap":20000},
                  "invariants":{"answer_slack_us":20000,"cold_from":0.33,"cold_us":9000000,"fall_multiple":3.0,
                   "fall_us":3000000,"drain_grace_us":1000000,"must_ask_in_us":10000000},
                  "over_share_worth":0.2,
                  "profiles":[
                   {"name":"escuchar","aim_us":300000,"deadline_us":1200000,"effect":"idempotent","key_scope":"all",
                    "window_us":5000000,"value":1.0,"late_worth":0.0,"stream":false},
                   {"name":"etiquetar","aim_us":1000000,"deadline_us":1500000,"effect":"at_most_once","key_scope":"all",
                    "window_us":5000000,"value":2.0,"late_worth":0.0,"stream":false},
                   {"name":"subir","aim_us":750000,"deadline_us":1500000,"effect":"at_most_once","key_scope":"all",
                    "window_us":5000000,"value":3.0,"late_worth":0.0,"stream":false},
                   {"name":"transcribir","aim_us":1200000,"deadline_us":5000000,"effect":"at_most_once",
                    "key_scope":"all","window_us":5000000,"value":5.0,"late_worth":0.0,"stream":false}],
                  "projects":[{"name":"red-escolar","allowance_per_s":118.0,"portion":0.71},
                   {"name":"instituto-habla","allowance_per_s":48.0,"portion":0.29}]}}
                """
                .formatted(rank, port, discovery, rank, known, proxies, rank, mode);
    }
}
