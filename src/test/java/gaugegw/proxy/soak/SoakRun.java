package gaugegw.proxy.soak;

import gaugegw.proxy.testing.FailingSocketCalls;
import gaugegw.proxy.testing.ProxyFixture;
import gaugegw.proxy.testing.ProxyProcess;
import gaugegw.proxy.testing.RawConnection;
import gaugegw.proxy.testing.ScriptedServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One run: the life of one proxy under the faults and signals of a {@link SoakScenario}. */
final class SoakRun {
    private static final int BACKENDS = 3;
    private static final int CLIENTS = 20;
    /** New connections keep arriving for this long after SIGTERM, in milliseconds. */
    private static final long CONNECT_AFTER_TERMINATE_MS = 300;

    private final SoakScenario scenario;
    private final Path folder;
    private final SoakLedger ledger = new SoakLedger();
    private final List<RawConnection> silentClients = new ArrayList<>();
    private volatile boolean faultsActive;
    private volatile boolean mayConnect = true;
    private volatile boolean mayStartRequest = true;
    private long readyAtNs;

    /**
     * What a run showed.
     *
     * @param violations the rules that the proxy broke, each with the request
     * @param summary how the requests ended, in words
     * @param log the log of the proxy
     */
    record Result(List<String> violations, String summary, List<String> log) {}

    SoakRun(SoakScenario scenario, Path folder) {
        this.scenario = scenario;
        this.folder = folder;
    }

    Result run() throws IOException, InterruptedException {
        var backends = new ArrayList<SoakBackend>();
        var entries = new ArrayList<String>();
        try {
            for (int i = 0; i < BACKENDS; i++) {
                backends.add(new SoakBackend(ledger, scenario, () -> faultsActive, i));
                entries.add(ProxyFixture.endpointJson("s" + i, backends.get(i).address(), "ready"));
            }
            String list = ProxyFixture.endpointListJson(42, true, entries.toArray(String[]::new));
            try (var discovery = new SoakDiscovery(list, this::isDiscoverySilent);
                    var otherDiscovery = new SoakDiscovery(list, this::isDiscoverySilent)) {
                return play(discovery, otherDiscovery);
            }
        } finally {
            for (SoakBackend backend : backends) {
                backend.close();
            }
        }
    }

    private boolean isDiscoverySilent() {
        return faultsActive && scenario.discoverySilent();
    }

    private Result play(SoakDiscovery discovery, SoakDiscovery otherDiscovery)
            throws IOException, InterruptedException {
        Path config = Files.writeString(folder.resolve("config.json"), config(discovery.address()));
        var failures = new FailingSocketCalls(folder, scenario.rules());
        try (var stalls = new StallMeter();
                var proxy = ProxyProcess.start(config, "ulimit -n 1040; " + failures.shellPrefix(scenario.seed()))) {
            int port = proxy.awaitPort();
            ScriptedServer.await(() -> RawConnection.isReady(port));
            readyAtNs = System.nanoTime();
            List<Thread> clients = startClients(port);
            connectSilentClients(port);
            var events = new SoakEvents();
            events.add(scenario.faultsFromMs(), () -> setFaults(failures, true));
            events.add(scenario.faultsUntilMs(), () -> setFaults(failures, false));
            for (long atMs : scenario.pausesAtMs()) {
                events.add(atMs, () -> signalIfAlive(proxy, "STOP"));
                events.add(atMs + SoakScenario.PAUSE_MS, () -> signalIfAlive(proxy, "CONT"));
            }
            for (int i = 0; i < scenario.reloadsAtMs().size(); i++) {
                SoakDiscovery next = i % 2 == 0 ? otherDiscovery : discovery;
                events.add(scenario.reloadsAtMs().get(i), () -> reload(proxy, config, next));
            }
            addTermination(events, proxy);
            events.playUntil(scenario.terminateAtMs() + scenario.killDelayMs(), readyAtNs);
            mayStartRequest = false;
            boolean killed = proxy.isAlive();
            signalIfAlive(proxy, "KILL");
            for (Thread client : clients) {
                client.join();
            }
            String end = killed ? "killed" : "ended by itself";
            return new Result(
                    ledger.finish(),
                    ledger.summary() + ", " + end + ", stalled " + stalls.longestMs() + " ms",
                    proxy.log());
        } finally {
            for (RawConnection client : silentClients) {
                client.close();
            }
        }
    }

    private void addTermination(SoakEvents events, ProxyProcess proxy) {
        long atMs = scenario.terminateAtMs();
        events.add(atMs, () -> {
            if (!proxy.isAlive()) {
                ledger.violation("crash: the process ended before SIGTERM");
            }
            signalIfAlive(proxy, "TERM");
        });
        events.add(atMs + 40, () -> signalIfAlive(proxy, "TERM"));
        events.add(atMs + 90, () -> signalIfAlive(proxy, "HUP"));
        events.add(atMs + CONNECT_AFTER_TERMINATE_MS, () -> mayConnect = false);
    }

    private static void signalIfAlive(ProxyProcess proxy, String name) throws IOException, InterruptedException {
        if (proxy.isAlive()) {
            proxy.signal(name);
        }
    }

    private void setFaults(FailingSocketCalls failures, boolean active) throws IOException {
        faultsActive = active;
        failures.enable(active);
    }

    private static void reload(ProxyProcess proxy, Path config, SoakDiscovery discovery)
            throws IOException, InterruptedException {
        String changed = Files.readString(config)
                .replaceAll("\"discovery\":\"[^\"]*\"", "\"discovery\":\"" + discovery.address() + "\"");
        Path next = Files.writeString(config.resolveSibling("next.json"), changed);
        Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        signalIfAlive(proxy, "HUP");
    }

    private List<Thread> startClients(int port) {
        var threads = new ArrayList<Thread>();
        for (int i = 0; i < CLIENTS; i++) {
            var thread = new Thread(new SoakClient(scenario, ledger, port, i, () -> mayConnect, () -> mayStartRequest));
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        return threads;
    }

    private void connectSilentClients(int port) {
        for (int i = 0; i < scenario.silentClients(); i++) {
            try {
                silentClients.add(RawConnection.connectTo(port));
            } catch (IOException e) {
                // The proxy accepts no more connections for now.
                return;
            }
        }
    }

    private String config(String discovery) {
        long longestUs = TimeUnit.MILLISECONDS.toMicros(scenario.longestDeadlineMs());
        String config = ProxyFixture.configText(discovery)
                .replace(
                        "\"name\":\"vote\",\"aim_us\":400000,\"deadline_us\":2000000",
                        "\"name\":\"vote\",\"aim_us\":" + longestUs * 6 / 10 + ",\"deadline_us\":" + longestUs)
                .replace("\"aim_us\":600000,\"deadline_us\":2000000", "\"aim_us\":150000,\"deadline_us\":300000")
                .replace("\"aim_us\":400000,\"deadline_us\":2000000", "\"aim_us\":150000,\"deadline_us\":300000");
        return scenario.localAgent() ? config.replace("on_request", "pushed") : config;
    }
}
