package gaugegw.proxy.dispatch;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Clock;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Delivers events to the load balancer one at a time. The execution of an action may cause another event, which is
 * delivered after all actions of the current event have been executed. Used on the event loop only.
 */
final class EventQueue {
    private final Clock clock;
    private final EventLoop loop;
    private final RateLimitedLog log;
    private final LoadBalancer loadBalancer;
    private final Consumer<Action> actionExecutor;
    private final Consumer<Event> failureHandler;
    private final Queue<Event> events = new ArrayDeque<>();
    /** The actions that the load balancer has requested for the current event. */
    private final List<Action> actions = new ArrayList<>();

    private boolean delivering;

    /**
     * Creates an empty queue.
     *
     * @param actionExecutor executes each action; called in the order in which the load balancer requested them
     * @param failureHandler called with an event if the load balancer throws an exception or an error while it handles
     *     the event; the actions that the load balancer requested before are executed afterwards
     */
    EventQueue(
            Clock clock,
            EventLoop loop,
            RateLimitedLog log,
            LoadBalancer loadBalancer,
            Consumer<Action> actionExecutor,
            Consumer<Event> failureHandler) {
        this.clock = clock;
        this.loop = loop;
        this.log = log;
        this.loadBalancer = loadBalancer;
        this.actionExecutor = actionExecutor;
        this.failureHandler = failureHandler;
    }

    /**
     * Delivers an event and executes the resulting actions before it returns. If it is called while an action is being
     * executed, it only queues the event; the delivery in progress handles it.
     */
    void deliver(Event event) {
        assert loop.inEventLoop();
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                handle(next);
            }
        } finally {
            delivering = false;
        }
    }

    private void handle(Event event) {
        try {
            loadBalancer.handle(clock.nowUs(), event, actions::add);
        } catch (RuntimeException | Error e) {
            log.writeException(
                    "failing the request, if any, of " + event + " because the load balancer threw an exception", e);
            failureHandler.accept(event);
        }
        executeAll();
    }

    /** Executes the actions of the current event. None may remain: it would be executed with the next event. */
    private void executeAll() {
        try {
            for (Action action : actions) {
                execute(action);
            }
        } finally {
            actions.clear();
        }
    }

    private void execute(Action action) {
        try {
            actionExecutor.accept(action);
        } catch (RuntimeException | Error e) {
            // The other actions of the event are still executed.
            log.writeException("continuing with the next action because " + action + " could not be executed", e);
        }
    }
}
