package gaugegw.balancer.api;

import java.util.function.Consumer;

/**
 * Decides where the requests of one proxy are sent.
 *
 * <p>An instance is confined to one thread. It has no clock and does no I/O. Equal settings and events give equal
 * actions.
 */
public interface LoadBalancer {
    /**
     * Takes one event and hands out the actions that follow from it, before it returns. The proxy must carry them out in
     * the order given.
     *
     * @param nowUs the proxy's clock, in microseconds, not before that of the event before
     * @param event what happened
     * @param actions receives the actions; must not call this instance
     * @throws IllegalArgumentException if a request is of a class that the settings do not have
     */
    void handle(long nowUs, Event event, Consumer<Action> actions);
}
