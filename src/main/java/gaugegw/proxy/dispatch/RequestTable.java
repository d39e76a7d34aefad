package gaugegw.proxy.dispatch;

import gaugegw.proxy.logging.RateLimitedLog;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The requests that are open or have an attempt in flight, by their ids. Event loop only, but for {@link #size}. */
final class RequestTable {
    private final Map<String, DispatchedRequest> requests = new HashMap<>();
    private final RateLimitedLog log;

    RequestTable(RateLimitedLog log) {
        this.log = log;
    }

    void add(DispatchedRequest request) {
        requests.put(request.id(), request);
    }

    /** Returns a request, or null where it is complete or was never there. */
    DispatchedRequest find(String id) {
        return requests.get(id);
    }

    boolean contains(String id) {
        return requests.containsKey(id);
    }

    int size() {
        return requests.size();
    }

    /** Returns a copy, which stays as it is while its requests end. */
    List<DispatchedRequest> snapshot() {
        return List.copyOf(requests.values());
    }

    /** Ends an open request with its one response; where that can't be sent the response is a failure. */
    void answer(DispatchedRequest request, Consumer<ResponseSink> response) {
        try {
            request.answer(response);
        } catch (RuntimeException e) {
            // Without any response the request would be lost.
            log.writeException("could not answer " + request.id(), e);
            request.replaceResponseByFailure();
        }
    }

    /** Answers a request if it is there and still open. */
    void answerIfOpen(String id, Consumer<ResponseSink> response) {
        DispatchedRequest request = requests.get(id);
        if (request != null && request.isOpen()) {
            answer(request, response);
            removeIfComplete(request);
        }
    }

    void removeIfComplete(DispatchedRequest request) {
        if (request.isComplete()) {
            // Only this one: its id may by now belong to a later request.
            requests.remove(request.id(), request);
        }
    }
}
