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
 * Hands events to the load balancer one at a time. An action may cause the next event: that one waits until all
 * actions of the event before it have been executed. Event loop only.
 */
final class EventQueue {
    private final Clock clock;
    private final EventLoop loop;
    private final RateLimitedLog log;
    private final LoadBalancer loadBalancer;
    private final Consumer<Action> actionExecutor;
    private final Consumer<Event> failureHandler;
    private final Queue<Event> events = new ArrayDeque<>();
    /** The actions that the event being delivered has caused. */
    private final List<Action> actions = new ArrayList<>();

    private boolean delivering;

    /**
     * Creates an empty queue.
     *
     * @param actionExecutor executes each action, in the order in which the load balancer gave them
     * @param failureHandler receives each event on which the load balancer threw, before the actions that it had given
     *     until then are executed
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
     * Delivers an event and executes what it causes before it returns; or, where it is called by an action that is being
     * executed, leaves the event to the delivery that is under way.
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
        } catch (RuntimeException e) {
            log.writeException("the load balancer failed on " + event, e);
            failureHandler.accept(event);
        }
        for (Action action : actions) {
            execute(action);
        }
        actions.clear();
    }

    private void execute(Action action) {
        try {
            actionExecutor.accept(action);
        } catch (RuntimeException e) {
            // An action that fails must not take the others of its event with it.
            log.writeException("could not execute " + action, e);
        }
    }
}
