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

/** The order in which events and actions follow one another. */
class EventQueueTest {
    private final EventLoop loop = new DefaultEventLoop();
    private final List<String> steps = new ArrayList<>();
    private EventQueue queue;

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private void deliver(LoadBalancer loadBalancer, String token) {
        queue = new EventQueue(new Clock(), loop, new RateLimitedLog(), loadBalancer, this::execute, this::failed);
        loop.submit(() -> queue.deliver(new TimerFired(token))).syncUninterruptibly();
    }

    private static String token(Event event) {
        return ((TimerFired) event).token();
    }

    /** An action "event: x" causes the event x, and an action "throw" fails. */
    private void execute(Action action) {
        String text = ((LogMessage) action).text();
        steps.add("action " + text);
        if (text.startsWith("event: ")) {
            queue.deliver(new TimerFired(text.substring("event: ".length())));
        } else if (text.equals("throw")) {
            throw new IllegalStateException("as the test wants it");
        }
    }

    private void failed(Event event) {
        steps.add("failed " + token(event));
    }

    /** The first of two actions causes an event. The event is delivered only after the second has been executed. */
    @Test
    void anEventCausedByAnActionWaitsForTheOtherActions() {
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

    /** An action fails. The other actions of its event are executed all the same. */
    @Test
    void aFailedActionDoesNotStopTheOthers() {
        deliver(
                (now, event, actions) -> {
                    actions.accept(new LogMessage("throw"));
                    actions.accept(new LogMessage("other"));
                },
                "first");
        assertThat(steps).containsExactly("action throw", "action other");
    }

    /** The load balancer throws after its first action. The failure is handled first, then the action is executed. */
    @Test
    void aFailureOfTheLoadBalancerIsHandledBeforeItsActions() {
        deliver(
                (now, event, actions) -> {
                    actions.accept(new LogMessage("other"));
                    throw new IllegalStateException("as the test wants it");
                },
                "first");
        assertThat(steps).containsExactly("failed first", "action other");
    }
}
