package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import gaugegw.balancer.api.BalancerSettings;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Decides when to call discovery for a watch of the endpoint list, if discovery sends the list only on request. Until a
 * list arrives, the call is repeated after each poll interval, and after the backoff if a call fails.
 */
final class DiscoveryPolling {
    /** The token of the poll timer. It is part of the simulator's wire format and must not change. */
    private static final String TIMER_TOKEN = "ask";

    private static final long NOT_SCHEDULED = Long.MAX_VALUE;

    private final boolean onRequest;
    private final long intervalUs;
    private final DiscoveryBackoff backoff;
    private long nextPollAtUs = NOT_SCHEDULED;

    DiscoveryPolling(BalancerSettings settings) {
        onRequest = settings.limits().endpointUpdatesOnRequest();
        intervalUs = settings.safetyLimits().pollIntervalUs();
        backoff = new DiscoveryBackoff(new Random(settings.seed()), intervalUs);
    }

    /** Requests a watch and schedules the next poll, unless discovery sends the list without a request. */
    void poll(long nowUs, Consumer<Action> actions) {
        nextPollAtUs = NOT_SCHEDULED;
        if (onRequest) {
            actions.accept(new Action.WatchEndpoints(true));
            schedule(nowUs + intervalUs, actions);
        }
    }

    void handleTimerFired(String token, long nowUs, Consumer<Action> actions) {
        if (token.equals(TIMER_TOKEN) && nowUs >= nextPollAtUs) {
            poll(nowUs, actions);
        }
    }

    /** Schedules a poll after a failed call, unless one that is due earlier is already scheduled. */
    void handleCallFailed(long nowUs, Consumer<Action> actions) {
        long pollAtUs = nowUs + backoff.nextDelayUs(nowUs);
        if (pollAtUs < nextPollAtUs) {
            schedule(pollAtUs, actions);
        }
    }

    /** Cancels the scheduled poll: the list has arrived and discovery now sends its changes. */
    void handleListReceived() {
        nextPollAtUs = NOT_SCHEDULED;
    }

    private void schedule(long atUs, Consumer<Action> actions) {
        nextPollAtUs = atUs;
        actions.accept(new Action.SetTimer(atUs, TIMER_TOKEN));
    }
}
