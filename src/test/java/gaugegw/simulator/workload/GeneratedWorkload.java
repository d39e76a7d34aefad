package gaugegw.simulator.workload;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A closed-loop workload in wire text: simulated clients, backends and discovery that write batches of events and react
 * to the replies. It knows the wire alone and no type of the load balancer. All randomness comes from one seeded
 * generator and nothing iterates over an unordered collection, so equal replies lead to equal events.
 *
 * <p>The host reads {@link #input()} and writes {@link #output()} on one thread.
 */
public final class GeneratedWorkload {
    private static final String END_OF_REPLY = "ok";

    private final SimulationContext context;
    private final ActionHandler actionHandler;
    private final WorkloadTranscript transcript = new WorkloadTranscript();
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream();
    private final long endUs;
    private boolean replyExpected;

    /** Creates the workload of a scenario: the same events each time if the replies are the same. */
    public GeneratedWorkload(WorkloadScenario scenario) {
        var random = new WorkloadRandom(scenario.seed());
        var schedule = new EventSchedule(40_000_000L + random.below(1_000_000));
        context = new SimulationContext(scenario, random, schedule, new EventBatch());
        endUs = context.nowUs() + scenario.durationUs();

        BackendRegistry registry = initialRegistry(context);
        List<SimulatedProxy> proxies = simulatedProxies(scenario);
        var discovery = new DiscoverySimulation(context, registry, proxies);
        var clients = new RequestGenerator(context, proxies);
        var backends = new BackendSimulation(context);
        actionHandler = new ActionHandler(context, proxies, registry, clients, backends, discovery);

        var lifecycle = new ProxyLifecycle(context, discovery);
        var faults = new FaultInjector(context, registry);
        var script = new ScenarioScript(context, registry, proxies, lifecycle, discovery, faults);
        script.scheduleStarts();
        script.scheduleActivity(
                clients,
                new RegistryChurn(context, registry, discovery),
                new UnsolicitedEvents(context, registry, proxies));
        script.scheduleRestarts();
        script.scheduleFaults();
    }

    /** Returns a registry of backends that have run for long, except for the first, which is still warming up. */
    private static BackendRegistry initialRegistry(SimulationContext context) {
        var registry = new BackendRegistry(context.random());
        int minBackends = context.scenario().minBackends();
        int count = minBackends + context.random().below(minBackends / 2);
        registry.add(context.nowUs() - 2_000_000);
        registry.add(context.nowUs() - 100_000_000);
        for (int i = 2; i < count; i++) {
            registry.add(0);
        }
        return registry;
    }

    private static List<SimulatedProxy> simulatedProxies(WorkloadScenario scenario) {
        var proxies = new ArrayList<SimulatedProxy>();
        for (int proxyIndex : scenario.simulatedProxyIndexes()) {
            proxies.add(new SimulatedProxy(proxies.size(), proxyIndex));
        }
        return List.copyOf(proxies);
    }

    /** Returns the events for the host: a batch is made when the host has answered the one before. */
    public InputStream input() {
        return new BatchInputStream(this::nextBatch);
    }

    /** Returns the stream for the replies of the host. */
    public OutputStream output() {
        return reply;
    }

    /** Returns all replies so far, as text. */
    public String replies() {
        return transcript.replies();
    }

    /** Returns batches and replies in turn. */
    public String transcript() {
        return transcript.text();
    }

    /** Returns how often each kind of action occurred, under its name on the wire. */
    public Map<String, Integer> actionCounts() {
        return transcript.actionCounts();
    }

    /** Returns the number of events so far. */
    public int eventCount() {
        return context.events().eventCount();
    }

    /** Returns the simulated time so far. */
    public long elapsedUs() {
        return context.schedule().elapsedUs();
    }

    private Optional<String> nextBatch() {
        if (replyExpected) {
            takeReply();
        }
        replyExpected = true;
        EventSchedule schedule = context.schedule();
        // Later tasks are only answers of discovery: all requests have ended.
        if (!schedule.hasTaskUntil(endUs)) {
            return Optional.empty();
        }
        long intervalUs = context.scenario().batchIntervalUs();
        schedule.advanceToNextTask(intervalUs);
        if (context.scenario().alignsBatches()) {
            schedule.alignTo(intervalUs);
        }
        schedule.runDueTasks();
        String batch = context.events().take(schedule.nowUs());
        transcript.addBatch(batch);
        return Optional.of(batch);
    }

    private void takeReply() {
        String text = reply.toString(StandardCharsets.UTF_8);
        reply.reset();
        if (!text.endsWith(END_OF_REPLY + "\n")) {
            throw new AssertionError("incomplete reply: " + text);
        }
        transcript.addReply(text);
        text.lines().filter(line -> !line.equals(END_OF_REPLY)).forEach(this::handleAction);
    }

    private void handleAction(String line) {
        ProxyAction action = ProxyAction.parse(line);
        transcript.countAction(action.kind());
        actionHandler.handle(action);
    }
}
