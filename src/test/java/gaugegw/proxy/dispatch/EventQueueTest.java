package gaugegw.proxy.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.Action.LogMessage;
import gaugegw.balancer.api.Event;
import gaugegw.balancer.api.Event.TimerFired;
import gaugegw.balancer.api.LoadBalancer;
import gaugegw.proxy.logging.RateLimitedLog;
import gaugegw.proxy.transport.Clock;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The order in which events are delivered and actions executed. */
class EventQueueTest {
    private final EventLoop loop = new DefaultEventLoop();
    private final List<String> steps = new ArrayList<>();
    private EventQueue queue;

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private void deliver(LoadBalancer loadBalancer, String token) {
        queue = new EventQueue(
                new Clock(), loop, new RateLimitedLog(), loadBalancer, this::execute, this::loadBalancerFailed);
        loop.submit(() -> queue.deliver(new TimerFired(token))).syncUninterruptibly();
    }

    private static String token(Event event) {
        return ((TimerFired) event).token();
    }

    /**
     * Executes a log message as an instruction: "event: x" delivers a timer event with the token x, "throw" throws an
     * exception, "throw error" an error, and any other text does nothing.
     */
    private void execute(Action action) {
        String text = ((LogMessage) action).text();
        steps.add("action " + text);
        if (text.startsWith("event: ")) {
            queue.deliver(new TimerFired(text.substring("event: ".length())));
        } else if (text.equals("throw")) {
            throw new IllegalStateException("thrown by the test");
        } else if (text.equals("throw error")) {
            throw new StackOverflowError("thrown by the test");
        }
    }

    private void loadBalancerFailed(Event event) {
        steps.add("failed " + token(event));
    }

    /**
     * The first of two actions causes an event. The event is delivered only after the second action has been executed.
     */
    @Test
    void deliversAnEventOfAnActionAfterTheOtherActions() {
        deliver(
                (now, event, actions) -> {
                    steps.add("event " + token(event));
                    if (token(event).equals("first")) {
                        actions.accept(new LogMessage("event: second"));
                        actions.accept(new LogMessage("other"));
                    }
                },
                "first");
        assertThat(steps).containsExactly("event first", "action event: second", "action other", "event second");
    }

    /** An action throws an exception. The other action of the event is still executed. */
    @Test
    void executesTheOtherActionsAfterOneFails() {
        deliver(
                (now, event, actions) -> {
                    actions.accept(new LogMessage("throw"));
                    actions.accept(new LogMessage("other"));
                },
                "first");
        assertThat(steps).containsExactly("action throw", "action other");
    }

    /**
     * The load balancer throws an exception after it has requested an action. The failure handler is called before the
     * action is executed.
     */
    @Test
    void handlesAnExceptionBeforeExecutingTheActions() {
        deliver(
                (now, event, actions) -> {
                    actions.accept(new LogMessage("other"));
                    throw new IllegalStateException("thrown by the test");
                },
                "first");
        assertThat(steps).containsExactly("failed first", "action other");
    }

    /** Guards against actions that are executed again, with a later event, because an error ended their execution. */
    @Test
    void executesEachActionOnceThoughOneThrowsAnError() {
        deliver(
                (now, event, actions) -> {
                    if (token(event).equals("first")) {
                        actions.accept(new LogMessage("event: second"));
                        actions.accept(new LogMessage("throw error"));
                        actions.accept(new LogMessage("other"));
                    }
                },
                "first");
        assertThat(steps).containsExactly("action event: second", "action throw error", "action other");
    }

    /** Guards against a request that gets no response because the load balancer threw an error, not an exception. */
    @Test
    void handlesAnErrorOfTheLoadBalancer() {
        deliver(
                (now, event, actions) -> {
                    actions.accept(new LogMessage("other"));
                    throw new StackOverflowError("thrown by the test");
                },
                "first");
        assertThat(steps).containsExactly("failed first", "action other");
    }
}
