package gaugegw.simulator;

import gaugegw.balancer.EarliestDeadlineLoadBalancer;
import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.BalancerSettings;
import gaugegw.balancer.api.Endpoint;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.balancer.api.UpdateKind;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Reads batches of events, gives each event to its instance and writes one reply per batch. Instances share no state.
 * A host runs once, on the thread that calls {@link #run}.
 */
final class SimulatorHost {
    /** Bounds what is allocated before the endpoints of an update are read, whatever count the message claims. */
    private static final int MAX_INITIAL_ENDPOINTS = 1024;

    private static final int EXIT_OK = 0;
    private static final int EXIT_MALFORMED_INPUT = 1;

    private final Function<BalancerSettings, LoadBalancer> factory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final MessageFields message = new MessageFields();
    private final ActionEncoder reply = new ActionEncoder();

    SimulatorHost() {
        this(EarliestDeadlineLoadBalancer::new);
    }

    /**
     * Creates a host.
     *
     * @param factory creates the load balancer of each instance that starts
     */
    SimulatorHost(Function<BalancerSettings, LoadBalancer> factory) {
        this.factory = factory;
    }

    /**
     * Runs until the input ends. A failure of a load balancer is reported to the simulator; malformed input is reported
     * in one line and ends the run. The streams are the caller's and stay open.
     *
     * @param in the batches
     * @param out receives each reply whole, and is flushed after it
     * @param errors receives what is wrong with malformed input
     * @return the exit code of the process: 0, or 1 after malformed input
     * @throws IOException if a stream fails
     */
    int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        var lines = new NumberedLines(in);
        try {
            while (lines.next()) {
                if (!lines.line().isEmpty()) {
                    handleBatch(lines);
                    out.write(reply.finishReply());
                    out.flush();
                }
            }
            return EXIT_OK;
        } catch (MalformedMessageException e) {
            errors.println(e.getMessage());
            return EXIT_MALFORMED_INPUT;
        }
    }

    /** Handles a batch whose opening line is the current one. */
    private void handleBatch(NumberedLines lines) throws IOException {
        message.read(lines.line(), lines.number());
        if (!message.name().equals(WireNames.BATCH)) {
            throw MalformedMessageException.unexpectedMessage(message, WireNames.BATCH);
        }
        long nowUs = message.longValue(WireNames.CLOCK_US);
        nextInBatch(lines);
        while (!lines.line().equals(WireNames.BATCH_END)) {
            if (!lines.line().isEmpty()) {
                message.read(lines.line(), lines.number());
                handleMessage(nowUs, message.name(), lines);
            }
            nextInBatch(lines);
        }
    }

    private static void nextInBatch(NumberedLines lines) throws IOException {
        if (!lines.next()) {
            throw MalformedMessageException.of(lines.number(), "input ends inside a batch");
        }
    }

    private void handleMessage(long nowUs, String name, NumberedLines lines) throws IOException {
        int id = message.nonNegativeInt(WireNames.INSTANCE);
        if (name.equals(WireNames.INSTANCE_STARTED)) {
            start(id);
            return;
        }
        Instance instance = instances.get(id);
        if (instance == null) {
            throw MalformedMessageException.of(
                    message.lineNumber(), "'" + name + "' for instance " + id + ", which is not up");
        }
        switch (name) {
            case WireNames.INSTANCE_KILLED -> instances.remove(id);
            case WireNames.GOSSIP_RECEIVED -> {
                // The load balancer uses no gossip.
            }
            case WireNames.ENDPOINT_UPDATE -> instance.handle(nowUs, readEndpointUpdate(lines));
            default -> instance.handle(nowUs, EventDecoder.event(name, message));
        }
    }

    private void start(int id) {
        BalancerSettings settings = EventDecoder.settings(message);
        try {
            instances.put(id, new Instance(id, factory.apply(settings)));
        } catch (RuntimeException e) {
            reply.failure(id, e);
        }
    }

    /** Reads an endpoint update: the current line, and as many endpoint lines as it says. */
    private Event readEndpointUpdate(NumberedLines lines) throws IOException {
        UpdateKind kind = EventDecoder.updateKind(message);
        int count = EventDecoder.entryCount(message);
        List<Endpoint> endpoints = new ArrayList<>(Math.min(count, MAX_INITIAL_ENDPOINTS));
        for (int i = 0; i < count; i++) {
            nextInBatch(lines);
            message.read(lines.line(), lines.number());
            endpoints.add(EventDecoder.endpoint(message));
        }
        return new Event.EndpointUpdate(kind, endpoints);
    }

    /** The load balancer of one simulated proxy; its actions are added to the reply under the proxy's number. */
    private final class Instance implements Consumer<Action> {
        private final int id;
        private final LoadBalancer balancer;

        Instance(int id, LoadBalancer balancer) {
            this.id = id;
            this.balancer = balancer;
        }

        void handle(long nowUs, Event event) {
            try {
                balancer.handle(nowUs, event, this);
            } catch (RuntimeException e) {
                reply.failure(id, e);
            }
        }

        @Override
        public void accept(Action action) {
            reply.action(id, action);
        }
    }
}
