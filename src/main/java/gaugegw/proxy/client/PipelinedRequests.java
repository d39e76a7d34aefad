package gaugegw.proxy.client;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The requests that a client has sent ahead of its responses. A few are kept; of those beyond, only the number is, so
 * that a client which never reads can't fill the memory. Used on the event loop only.
 */
final class PipelinedRequests {
    /** Requests kept ahead on one connection; the protocol's clients send one at a time. */
    private static final int MAX_WAITING = 2;

    private final Queue<ClientExchange> waiting = new ArrayDeque<>();
    /** Complete requests beyond those that wait; each is still owed a response. */
    private int overflow;

    /** Keeps a request, or releases and counts it if too many are kept. */
    void add(ClientExchange exchange) {
        if (overflow == 0 && waiting.size() < MAX_WAITING) {
            waiting.add(exchange);
        } else {
            exchange.release();
            overflow++;
        }
    }

    /** Removes the next waiting request; null if there is none. */
    ClientExchange poll() {
        return waiting.poll();
    }

    boolean isEmpty() {
        return waiting.isEmpty() && overflow == 0;
    }

    boolean hasOverflow() {
        return overflow > 0;
    }

    /** Takes one request off the overflow, as it is responded to. */
    void removeOverflow() {
        overflow--;
    }

    /** Makes all that wait part of the overflow: none of them is to be dispatched any more. */
    void overflowWaiting() {
        overflow += waiting.size();
        releaseWaiting();
    }

    /** Releases the waiting requests, as the connection is closed. */
    void releaseWaiting() {
        waiting.forEach(ClientExchange::release);
        waiting.clear();
    }
}
