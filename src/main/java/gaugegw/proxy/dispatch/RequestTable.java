package gaugegw.proxy.dispatch;

import gaugegw.proxy.logging.RateLimitedLog;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The requests that are open or have an attempt in flight, by id. Used on the event loop only, except for
 * {@link #size}.
 */
final class RequestTable {
    private final Map<String, DispatchedRequest> requests = new HashMap<>();
    private final RateLimitedLog log;

    RequestTable(RateLimitedLog log) {
        this.log = log;
    }

    void add(DispatchedRequest request) {
        requests.put(request.id(), request);
    }

    /** Returns the request with a given id; null if there is none or it is complete. */
    DispatchedRequest find(String id) {
        return requests.get(id);
    }

    boolean contains(String id) {
        return requests.containsKey(id);
    }

    int size() {
        return requests.size();
    }

    /** Returns a copy of the list of requests, which does not change when requests end. */
    List<DispatchedRequest> snapshot() {
        return List.copyOf(requests.values());
    }

    /** Ends an open request with its only response. If that can't be sent, sends a failure instead. */
    void respond(DispatchedRequest request, Consumer<ResponseSink> responder) {
        try {
            request.respond(responder);
        } catch (RuntimeException e) {
            // Without any response the client would wait until it gives up.
            log.writeException(
                    "could not send the response to request " + request.id() + "; sending a failure instead", e);
            request.sendFailureInstead();
        }
    }

    /** Responds to the request with a given id; does nothing unless there is one and it is open. */
    void respondIfOpen(String id, Consumer<ResponseSink> responder) {
        DispatchedRequest request = requests.get(id);
        if (request != null && request.isOpen()) {
            respond(request, responder);
            removeIfComplete(request);
        }
    }

    void removeIfComplete(DispatchedRequest request) {
        if (request.isComplete()) {
            // Removes this request only: a later one may have the same id by now.
            requests.remove(request.id(), request);
        }
    }
}
