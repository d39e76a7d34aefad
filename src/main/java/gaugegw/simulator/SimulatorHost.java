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
 * Hosts the load balancers of the simulated proxies, called instances here: reads batches of events, passes each event
 * to its instance, and writes one reply per batch. Instances share no state. A host can be run only once and is
 * confined to the thread that calls {@link #run}.
 */
final class SimulatorHost {
    /**
     * Largest initial capacity of the list of endpoints. A malformed update with a huge entry count would otherwise
     * allocate memory for endpoints that never follow.
     */
    private static final int MAX_INITIAL_ENDPOINTS = 1024;

    private static final int EXIT_OK = 0;
    private static final int EXIT_MALFORMED_INPUT = 1;

    private final Function<BalancerSettings, LoadBalancer> balancerFactory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final MessageFields message = new MessageFields();
    private final ActionEncoder reply = new ActionEncoder();

    SimulatorHost() {
        this(EarliestDeadlineLoadBalancer::new);
    }

    /**
     * Creates a host without instances.
     *
     * @param balancerFactory creates the load balancer of an instance from its settings
     */
    SimulatorHost(Function<BalancerSettings, LoadBalancer> balancerFactory) {
        this.balancerFactory = balancerFactory;
    }

    /**
     * Handles batches until the input ends. An exception thrown by a load balancer is reported to the simulator in the
     * reply, and the run continues. Malformed input is reported on {@code errors} in one line and ends the run; the
     * batch that contains it gets no reply. Does not close the streams.
     *
     * @param in the batches
     * @param out receives the replies, each in a single write followed by a flush
     * @param errors receives the description of malformed input
     * @return the exit status for the process: 0, or 1 after malformed input
     * @throws IOException if reading the input or writing a reply fails
     */
    int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        var reader = new NumberedLineReader(in);
        try {
            while (reader.advance()) {
                if (!reader.line().isEmpty()) {
                    handleBatch(reader);
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

    /** Handles the batch that begins at the current line, up to and including its last line. */
    private void handleBatch(NumberedLineReader reader) throws IOException {
        message.parse(reader.line(), reader.lineNumber());
        if (!message.name().equals(WireNames.BATCH)) {
            throw MalformedMessageException.unexpectedMessage(message, WireNames.BATCH);
        }
        long nowUs = message.longValue(WireNames.BATCH_TIME_US);
        advanceWithinBatch(reader);
        while (!reader.line().equals(WireNames.BATCH_END)) {
            if (!reader.line().isEmpty()) {
                message.parse(reader.line(), reader.lineNumber());
                handleMessage(nowUs, message.name(), reader);
            }
            advanceWithinBatch(reader);
        }
    }

    private static void advanceWithinBatch(NumberedLineReader reader) throws IOException {
        if (!reader.advance()) {
            throw MalformedMessageException.of(reader.lineNumber(), "input ended before the last line of the batch");
        }
    }

    private void handleMessage(long nowUs, String name, NumberedLineReader reader) throws IOException {
        int instanceId = message.nonNegativeInt(WireNames.INSTANCE_ID);
        if (name.equals(WireNames.INSTANCE_STARTED)) {
            startInstance(instanceId);
            return;
        }
        Instance instance = instances.get(instanceId);
        if (instance == null) {
            throw MalformedMessageException.of(
                    message.lineNumber(), name + ": instance " + instanceId + " is not running");
        }
        switch (name) {
            case WireNames.INSTANCE_KILLED -> instances.remove(instanceId);
            case WireNames.PEER_MESSAGE_RECEIVED -> {
                // Ignored: the load balancer does not use messages from other proxies.
            }
            case WireNames.ENDPOINT_UPDATE -> instance.handle(nowUs, readEndpointUpdate(reader));
            default -> instance.handle(nowUs, EventDecoder.decodeEvent(name, message));
        }
    }

    private void startInstance(int instanceId) {
        BalancerSettings settings = EventDecoder.decodeSettings(message);
        try {
            instances.put(instanceId, new Instance(instanceId, balancerFactory.apply(settings)));
        } catch (RuntimeException e) {
            reply.appendFailure(instanceId, e);
        }
    }

    /** Reads an endpoint update: the current line and the entries that follow it, as many as it announces. */
    private Event readEndpointUpdate(NumberedLineReader reader) throws IOException {
        UpdateKind kind = EventDecoder.decodeUpdateKind(message);
        int entryCount = EventDecoder.decodeEntryCount(message);
        List<Endpoint> endpoints = new ArrayList<>(Math.min(entryCount, MAX_INITIAL_ENDPOINTS));
        for (int i = 0; i < entryCount; i++) {
            advanceWithinBatch(reader);
            message.parse(reader.line(), reader.lineNumber());
            endpoints.add(EventDecoder.decodeEndpoint(message));
        }
        return new Event.EndpointUpdate(kind, endpoints);
    }

    /** The load balancer of one simulated proxy. Appends each action that it emits to the reply. */
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
                reply.appendFailure(id, e);
            }
        }

        @Override
        public void accept(Action action) {
            reply.appendAction(id, action);
        }
    }
}
