package gaugegw.simulator.workload;

/** Starts and stops the proxies. */
final class ProxyLifecycle {
    private final SimulationContext context;
    private final DiscoverySimulation discovery;

    ProxyLifecycle(SimulationContext context, DiscoverySimulation discovery) {
        this.context = context;
        this.discovery = discovery;
    }

    /** Starts the proxy with the settings of the scenario and a seed of its own. */
    void start(SimulatedProxy proxy) {
        proxy.start();
        long seed = context.random().proxySeed();
        context.events()
                .add("up who=" + proxy.id() + " prng=" + seed
                        + ScenarioSettings.of(context.scenario(), proxy.proxyIndex()));
        discovery.proxyStarted(proxy);
    }

    /** Stops the proxy at once: its requests are lost. */
    void stop(SimulatedProxy proxy) {
        context.events().add("detach who=" + proxy.id());
        proxy.stop(context.nowUs());
    }

    void restart(SimulatedProxy proxy) {
        stop(proxy);
        start(proxy);
    }
}
