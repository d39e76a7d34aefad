package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.BalancerSettings;
import java.util.Random;
import java.util.function.Consumer;

/** Polls discovery for a watch of the endpoint list, again after each poll interval or failure until it is answered. */
final class DiscoveryPolling {
    /** The token of the poll's timer. It is on the simulator's wire, so it must not change. */
    private static final String TIMER_TOKEN = "ask";

    private static final long NOT_SCHEDULED = Long.MAX_VALUE;

    private final boolean polled;
    private final long intervalUs;
    private final DiscoveryBackoff backoff;
    private long nextPollAtUs = NOT_SCHEDULED;

    DiscoveryPolling(BalancerSettings settings) {
        polled = settings.limits().endpointUpdatesOnRequest();
        intervalUs = settings.safetyLimits().pollIntervalUs();
        backoff = new DiscoveryBackoff(new Random(settings.seed()), intervalUs);
    }

    /** Begins a poll, unless the list arrives without one. */
    void poll(long nowUs, Consumer<Action> actions) {
        nextPollAtUs = NOT_SCHEDULED;
        if (polled) {
            actions.accept(new Action.WatchEndpoints(true));
            schedule(nowUs + intervalUs, actions);
        }
    }

    void timerFired(String token, long nowUs, Consumer<Action> actions) {
        if (token.equals(TIMER_TOKEN) && nowUs >= nextPollAtUs) {
            poll(nowUs, actions);
        }
    }

    /** Schedules a poll after a failed call; a poll that is due sooner stays. */
    void callFailed(long nowUs, Consumer<Action> actions) {
        long pollAtUs = nowUs + backoff.nextDelayUs(nowUs);
        if (pollAtUs < nextPollAtUs) {
            schedule(pollAtUs, actions);
        }
    }

    void listReceived() {
        nextPollAtUs = NOT_SCHEDULED;
    }

    private void schedule(long atUs, Consumer<Action> actions) {
        nextPollAtUs = atUs;
        actions.accept(new Action.SetTimer(atUs, TIMER_TOKEN));
    }
}
