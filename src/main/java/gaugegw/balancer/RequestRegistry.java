package gaugegw.balancer;

import gaugegw.balancer.api.Action;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The requests that have no final answer yet or still have attempts in flight, by id. */
final class RequestRegistry {
    private final boolean cancellation;
    private final Map<String, PendingRequest> byId = new HashMap<>();

    RequestRegistry(boolean cancellation) {
        this.cancellation = cancellation;
    }

    void add(PendingRequest request) {
        byId.put(request.id(), request);
    }

    /** Returns a request, or null if the id is unknown or the request has been removed. */
    PendingRequest find(String requestId) {
        return byId.get(requestId);
    }

    /** Returns the number of requests held in memory. */
    int size() {
        return byId.size();
    }

    /**
     * Marks a request as answered, cancels its attempts if cancellation is permitted, and removes the request if none
     * of its attempts is in flight. Otherwise this is called again when the remaining attempts end.
     */
    void complete(PendingRequest request, Consumer<Action> actions) {
        if (cancellation && !request.isAnswered()) {
            cancelAttempts(request, actions);
        }
        request.markAnswered();
        if (request.attemptsInFlight() == 0) {
            byId.remove(request.id());
        }
    }

    private static void cancelAttempts(PendingRequest request, Consumer<Action> actions) {
        for (int attempt = 0; attempt < request.attempts().size(); attempt++) {
            if (request.isInFlight(attempt)) {
                actions.accept(new Action.CancelAttempt(request.id(), attempt));
            }
        }
    }
}
