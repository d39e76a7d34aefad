package gaugegw.simulator.workload;

import java.util.List;

/** Carries out the actions of the proxies on the simulated clients, backends, timers and discovery. */
final class ActionHandler {
    private final SimulationContext context;
    private final List<SimulatedProxy> proxies;
    private final BackendRegistry registry;
    private final RequestGenerator clients;
    private final BackendSimulation backends;
    private final DiscoverySimulation discovery;

    ActionHandler(
            SimulationContext context,
            List<SimulatedProxy> proxies,
            BackendRegistry registry,
            RequestGenerator clients,
            BackendSimulation backends,
            DiscoverySimulation discovery) {
        this.context = context;
        this.proxies = proxies;
        this.registry = registry;
        this.clients = clients;
        this.backends = backends;
        this.discovery = discovery;
    }

    /** Carries out an action; fails the test if the surroundings of a proxy could not. */
    void handle(ProxyAction action) {
        SimulatedProxy proxy = proxies.get(SimulatedProxy.ordinalOf(action.index("who")));
        if (precedesStop(action, proxy)) {
            return;
        }
        switch (action.kind()) {
            case "relay" -> startAttempt(action, proxy);
            case "retract" -> cancelAttempt(action, proxy);
            case "not_now" -> reject(action, proxy);
            case "finish_error" -> fail(action, proxy);
            case "arm" -> startTimer(action, proxy);
            case "observe" -> watch(action, proxy);
            case "pull" -> discovery.poll(proxy);
            case "release", "print", "sound_out" -> {
                // Nothing in this simulation depends on these.
            }
            default -> throw action.error("unexpected reply");
        }
    }

    /** Returns whether the proxy decided on an event of this batch before it was stopped in the same batch. */
    private boolean precedesStop(ProxyAction action, SimulatedProxy proxy) {
        boolean lost = action.find("op_id")
                .flatMap(clients::find)
                .filter(SimulatedRequest::isLost)
                .isPresent();
        return lost && proxy.stoppedAt(context.nowUs());
    }

    private void startAttempt(ProxyAction action, SimulatedProxy proxy) {
        SimulatedRequest request = request(action, proxy);
        SimulatedBackend backend =
                registry.find(action.text("backend")).orElseThrow(() -> action.error("attempt on an unknown backend"));
        if (request.isFinishedBefore(context.nowUs())) {
            throw action.error("attempt for a finished request");
        }
        backends.startAttempt(request, backend, action.number("max_wait_us"));
    }

    private void cancelAttempt(ProxyAction action, SimulatedProxy proxy) {
        backends.cancelAttempt(request(action, proxy).attempt(action.index("go")));
    }

    private void reject(ProxyAction action, SimulatedProxy proxy) {
        SimulatedRequest request = request(action, proxy);
        if (!request.isFinished()) {
            request.finish(context.nowUs());
            clients.retryAfter(request, retryAfterUs(action));
        }
    }

    /** Ends a request with an error, after which clients retry only what is idempotent. */
    private void fail(ProxyAction action, SimulatedProxy proxy) {
        SimulatedRequest request = request(action, proxy);
        if (!request.isFinished()) {
            request.finish(context.nowUs());
            if (request.requestClass().isIdempotent()) {
                clients.retryAfter(request, retryAfterUs(action));
            }
        }
    }

    private static long retryAfterUs(ProxyAction action) {
        return Long.parseLong(action.find("not_before_for_us").orElse("0"));
    }

    private void startTimer(ProxyAction action, SimulatedProxy proxy) {
        String timer = action.text("ctx");
        int incarnation = proxy.incarnation();
        long delayUs = Math.max(1, action.number("fire_at_us") - context.nowUs());
        context.schedule().scheduleAfter(delayUs, () -> {
            if (proxy.isRunning(incarnation)) {
                context.events().add("deadline_hit who=" + proxy.id() + " ctx=" + timer);
            }
        });
    }

    private void watch(ProxyAction action, SimulatedProxy proxy) {
        if (action.text("enable").equals("1")) {
            discovery.startWatch(proxy);
        } else {
            discovery.stopWatch(proxy);
        }
    }

    private SimulatedRequest request(ProxyAction action, SimulatedProxy proxy) {
        return clients.find(action.text("op_id"))
                .filter(request -> request.proxy() == proxy && !request.isLost())
                .orElseThrow(() -> action.error("not a request of this instance"));
    }
}
