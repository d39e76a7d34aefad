package gaugegw.balancer.api;

import java.util.function.Consumer;

/**
 * Decides when and to which endpoint the requests of one proxy are sent.
 *
 * <p>An instance is confined to one thread. It has no clock and does no I/O. Equal settings and events give equal
 * actions.
 */
public interface LoadBalancer {
    /**
     * Handles one event. All actions that follow from it are passed on before this method returns, and the proxy must
     * carry them out in the same order.
     *
     * @param nowUs the time on the proxy's clock, in microseconds; not earlier than that of the previous event
     * @param event what happened
     * @param actions receives the actions; must not call this load balancer
     * @throws IllegalArgumentException if the class of an arriving request is not in the settings
     */
    void handle(long nowUs, Event event, Consumer<Action> actions);
}
